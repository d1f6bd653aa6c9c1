import * as v from "valibot";

/** Schema of an entry instance as listed by another one. */
export const memberViewSchema = v.object({
  /** Address for other instances, `IP:port`. */
  address: v.string(),
  /** Base URL of its HTTP API; absent if it has none. */
  url: v.optional(v.string()),
});

/** Schema of a domain that an instance owns. */
export const ownedDomainSchema = v.object({
  partition: v.number(),
  /** Fencing epoch of its records and of its commands to workers. */
  epoch: v.number(),
  jobs: v.number(),
  queued: v.number(),
  running: v.number(),
  workers: v.number(),
  /** How long the store has not responded to the owner, in milliseconds. */
  storeSilentMs: v.number(),
});

/** Schema of an entry instance's status. */
export const instanceViewSchema = v.object({
  /** Id of the instance. */
  instance: v.string(),
  /** Identifies this run of the instance; changes at every start. */
  incarnation: v.string(),
  zone: v.string(),
  /** Address for other instances, `IP:port`. */
  address: v.string(),
  /** Base URL of its HTTP API. */
  url: v.string(),
  /** Whether the instance accepts requests. */
  ready: v.boolean(),
  /** Version of the manifest in force; -1 if there is none. */
  version: v.number(),
  /** The other instances that have registered themselves. */
  members: v.array(memberViewSchema),
  /** The domains that it owns and that have jobs or workers. */
  domains: v.array(ownedDomainSchema),
  /** Whether the instance is handing over its domains to stop. */
  leaving: v.boolean(),
});

/** An entry instance's status. */
export type InstanceView = v.InferOutput<typeof instanceViewSchema>;
