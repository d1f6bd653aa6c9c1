import * as v from "valibot";

/** Schema of an entry instance as another one sees it. */
export const memberSchema = v.object({
  id: v.string(),
  incarnation: v.string(),
  zone: v.string(),
  /** `live` or `leaving`; a peer that is not heard is not shown. */
  state: v.string(),
  /** Base URL by IP number. */
  url: v.string(),
  /** Version of the manifest in force there; -1 for none. */
  version: v.number(),
});

/** An entry instance as another one sees it. */
export type Member = v.InferOutput<typeof memberSchema>;

/** Schema of an entry instance's status. */
export const instanceStatusSchema = v.object({
  /** The instance's id. */
  instance: v.string(),
  /** Names this run of the instance; a new one at each start. */
  incarnation: v.string(),
  zone: v.string(),
  /** Base URL by IP number. */
  url: v.string(),
  /** Whether the instance takes requests. */
  ready: v.boolean(),
  /** Version of the manifest in force; -1 for none. */
  version: v.number(),
  /** The peers that it hears. */
  members: v.array(memberSchema),
  /** Incarnations that no command is taken from any more. */
  barred: v.array(v.string()),
  /** How many workers the instance holds. */
  workers: v.number(),
  /** How many tasks wait here. */
  queued: v.number(),
  /** How many tasks run on the workers that the instance holds. */
  running: v.number(),
  logReachable: v.boolean(),
  /** Whether the instance hands over and stops. */
  leaving: v.boolean(),
});

/** An entry instance's status. */
export type InstanceStatus = v.InferOutput<typeof instanceStatusSchema>;
