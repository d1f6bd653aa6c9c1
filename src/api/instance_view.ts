import * as v from "valibot";

/** Schema of an entry instance as another one knows it. */
export const memberViewSchema = v.object({
  /** Address for other instances, `IP:port`. */
  address: v.string(),
  /** Base URL of its interface; absent where it has none. */
  url: v.optional(v.string()),
});

/** Schema of a domain that an instance owns. */
export const ownedDomainSchema = v.object({
  partition: v.number(),
  /** Number that fences its records and its orders to workers. */
  epoch: v.number(),
  jobs: v.number(),
  queued: v.number(),
  running: v.number(),
  workers: v.number(),
  /** How long the store has not answered the owner, in milliseconds. */
  storeSilentMs: v.number(),
});

/** Schema of an entry instance's status. */
export const instanceViewSchema = v.object({
  /** The instance's id. */
  instance: v.string(),
  /** Names this run of the instance; a new one at each start. */
  incarnation: v.string(),
  zone: v.string(),
  /** Address for other instances, `IP:port`. */
  address: v.string(),
  /** Base URL of its interface. */
  url: v.string(),
  /** Whether the instance takes requests. */
  ready: v.boolean(),
  /** Version of the manifest in force; -1 for none. */
  version: v.number(),
  /** The other instances that have announced themselves. */
  members: v.array(memberViewSchema),
  /** The domains that it owns and that have jobs or workers. */
  domains: v.array(ownedDomainSchema),
  /** Whether the instance hands over and stops. */
  leaving: v.boolean(),
});

/** An entry instance's status. */
export type InstanceView = v.InferOutput<typeof instanceViewSchema>;
