import * as v from "valibot";
import { instanceSchema } from "../model/mod.ts";
import { barSchema } from "./bar.ts";
import { heldWorkerSchema } from "./held_worker.ts";
import { loadSchema } from "./load.ts";

/** Schema of what an instance tells its peers in each heartbeat. */
export const heartbeatSchema = v.object({
  from: instanceSchema,
  /** When the heartbeat was built, on the steady clock of the sender. */
  sentAtMs: v.number(),
  /** Whether the sender hands over and stops. */
  leaving: v.boolean(),
  /** Version of the configuration that is in force at the sender. */
  version: v.number(),
  held: v.array(heldWorkerSchema),
  /** Workers of the sender's zone that the sender cannot reach. */
  unreachable: v.array(v.string()),
  /** Ids of the workers known in the sender's zone. */
  workers: v.array(v.string()),
  /** When the sender's instance list was true, in ms since the epoch. */
  listedAsOfMs: v.number(),
  /** Holders that the sender hears itself. */
  heard: v.array(v.string()),
  bars: v.array(barSchema),
  load: loadSchema,
});

/** What an instance tells its peers in each heartbeat. */
export type Heartbeat = v.InferOutput<typeof heartbeatSchema>;
