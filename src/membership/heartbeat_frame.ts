import * as v from "valibot";
import { heartbeatSchema } from "./heartbeat.ts";
import { loadSchema } from "./load.ts";

const { from, held, unreachable, workers, heard, bars } =
  heartbeatSchema.entries;
const { sentAtMs, leaving, version, listedAsOfMs } = heartbeatSchema.entries;

/** Schema of the parts of a heartbeat that seldom change. */
export const heartbeatSectionsSchema = v.object({
  from: v.optional(from),
  held: v.optional(held),
  unreachable: v.optional(unreachable),
  workers: v.optional(workers),
  heard: v.optional(heard),
  bars: v.optional(bars),
  /** The shapes of the load. */
  shapes: v.optional(loadSchema.entries.shapes),
});

/** The parts of a heartbeat that seldom change; an absent one did not. */
export type HeartbeatSections = v.InferOutput<typeof heartbeatSectionsSchema>;

/** Schema of a heartbeat as it is sent. */
export const heartbeatFrameSchema = v.object({
  sentAtMs,
  leaving,
  version,
  listedAsOfMs,
  load: v.omit(loadSchema, ["shapes"]),
  /** Digest of all sections once this frame is applied. */
  digest: v.string(),
  /** Digest of the sections that the absent ones are taken from. */
  base: v.optional(v.string()),
  /** Digest of the sections that the sender has of the receiver. */
  have: v.optional(v.string()),
  sections: heartbeatSectionsSchema,
});

/** A heartbeat as it is sent: whole, or what changed since one received. */
export type HeartbeatFrame = v.InferOutput<typeof heartbeatFrameSchema>;
