import * as v from "valibot";
import {
  jobDescriptionSchema,
  jobPreviewSchema,
  jobRequestSchema,
  queuePolicySchema,
} from "../domain/mod.ts";
import {
  domainQueuesSchema,
  relayEventSchema,
  relayMessageSchema,
} from "../ownership/mod.ts";

/** Schema of a call from one entry instance to another. */
export const peerCallSchema = v.variant("kind", [
  v.object({
    kind: v.literal("submit"),
    partition: v.number(),
    request: jobRequestSchema,
    policy: queuePolicySchema,
    /** Host and path prefix of the queue. */
    address: v.optional(v.string()),
    /**
     * Whether the caller understands the answer `overloaded`; earlier versions
     * omit it.
     */
    mayRefuse: v.optional(v.boolean()),
  }),
  v.object({
    kind: v.literal("cancel"),
    partition: v.number(),
    job: v.string(),
    /** The queue that the call addressed, and its address. */
    queue: v.optional(v.string()),
    address: v.optional(v.string()),
    /** The caller's client account; absent if it is not known. */
    clientAccount: v.optional(v.string()),
  }),
  v.object({
    kind: v.literal("state"),
    partition: v.number(),
    job: v.string(),
    /**
     * The queue that the call addressed, and its address; an owner that does not
     * have the job then names the other domains that may have it.
     */
    queue: v.optional(v.string()),
    address: v.optional(v.string()),
    /** The caller's client account; absent if it is not known. */
    clientAccount: v.optional(v.string()),
  }),
  v.object({
    kind: v.literal("pending"),
    partition: v.number(),
    queue: v.string(),
    address: v.optional(v.string()),
    /** Whether to name the other domains that may have jobs of the queue. */
    namesSharers: v.optional(v.boolean()),
  }),
  /** Reads a job with its tasks. */
  v.object({
    kind: v.literal("describe"),
    partition: v.number(),
    job: v.string(),
  }),
  /** Asks what the owner would do with a job, which it does not accept. */
  v.object({
    kind: v.literal("preview"),
    partition: v.number(),
    request: jobRequestSchema,
    policy: queuePolicySchema,
  }),
  /** Requests advice from the placement policy for the calling instance. */
  v.object({
    kind: v.literal("advise"),
    stepKey: v.string(),
    workers: v.array(v.string()),
    costMs: v.number(),
  }),
  /** Batch from an owner to an instance that relays its links to workers. */
  v.object({
    kind: v.literal("relay"),
    session: v.string(),
    owner: v.string(),
    instance: v.optional(v.string()),
    epoch: v.number(),
    ownerMs: v.number(),
    first: v.number(),
    messages: v.array(relayMessageSchema),
  }),
  /** Batch of reports from relayed links to their owner. */
  v.object({
    kind: v.literal("relayed"),
    session: v.string(),
    isLeaving: v.boolean(),
    keepsLeaseLimit: v.optional(v.boolean()),
    keepsFences: v.optional(v.boolean()),
    first: v.number(),
    messages: v.array(relayEventSchema),
  }),
  /** Looks up which domain of the instance has a job. */
  v.object({
    kind: v.literal("find"),
    job: v.string(),
    /** The domains to search; all that the instance owns if absent. */
    partitions: v.optional(v.array(v.number())),
    /** The lowest epoch of an owner that may answer, by partition. */
    epochs: v.optional(v.record(v.string(), v.number())),
    /** The domain that searches, which the others search from then on. */
    sharer: v.optional(domainQueuesSchema),
  }),
  /** Reads from the store which instance owns which domain. */
  v.object({ kind: v.literal("owners") }),
  /** Announces that an instance has taken over a domain. */
  v.object({
    kind: v.literal("owned"),
    owner: v.string(),
    domain: v.number(),
    epoch: v.number(),
  }),
  /** Ends an earlier ownership of a domain that now has a successor. */
  v.object({
    kind: v.literal("release"),
    domain: v.number(),
    epoch: v.number(),
  }),
  /** Makes the instance replace a member that the store does not confirm. */
  v.object({ kind: v.literal("succeed"), member: v.string() }),
  /** Checks whether the instance reaches another one. */
  v.object({ kind: v.literal("reach"), instance: v.string() }),
  /** Asks how old the confirmation of the configuration is. */
  v.object({
    kind: v.literal("configuration"),
    /** The version in force at the calling instance. */
    version: v.number(),
  }),
  /** Invites the instance to join now and receive released domains. */
  v.object({ kind: v.literal("confirm") }),
]);

/** A call from one entry instance to another. */
export type PeerCall = v.InferOutput<typeof peerCallSchema>;

/** A call about one domain. */
export type DomainCall = Extract<PeerCall, { partition: number }>;

/** Schema of the answer to a call about a domain. */
export const domainAnswerSchema = v.variant("kind", [
  v.object({ kind: v.literal("accepted") }),
  /** Another client account has a job with the id; the call had no effect. */
  v.object({ kind: v.literal("conflict") }),
  v.object({
    kind: v.literal("unknownJob"),
    /** The other domains that may have jobs of the queue. */
    sharers: v.optional(v.array(domainQueuesSchema)),
  }),
  /** Another domain has the job, or is to decide; the call had no effect. */
  v.object({ kind: v.literal("elsewhere"), partition: v.number() }),
  /**
   * Another domain that may have the job did not answer, or is about to accept
   * it; the call had no effect.
   */
  v.object({ kind: v.literal("unsearched") }),
  /** The instance does not own the domain; the call had no effect. */
  v.object({ kind: v.literal("notOwner") }),
  /** The owner lost the domain; the change may have reached the store. */
  v.object({ kind: v.literal("lost") }),
  /** The store has not answered for a while; the call had no effect. */
  v.object({ kind: v.literal("storeDown"), silentMs: v.number() }),
  /**
   * The client account exceeds its rate while capacity is short; the job was
   * not accepted.
   */
  v.object({ kind: v.literal("overloaded"), retryAfterMs: v.number() }),
  v.object({
    kind: v.literal("state"),
    state: v.picklist([
      "pending",
      "running",
      "completed",
      "failed",
      "cancelled",
    ]),
  }),
  v.object({
    kind: v.literal("pending"),
    jobs: v.number(),
    /** The other domains that may have jobs of the queue. */
    sharers: v.optional(v.array(domainQueuesSchema)),
  }),
  v.object({ kind: v.literal("description"), job: jobDescriptionSchema }),
  v.object({ kind: v.literal("preview"), preview: jobPreviewSchema }),
]);

/** The answer to a call about a domain. */
export type DomainAnswer = v.InferOutput<typeof domainAnswerSchema>;

/** Schema of the placement policy's advice. */
export const adviceAnswerSchema = v.object({
  allowed: v.array(v.tuple([v.string(), v.string()])),
  validMs: v.number(),
});

/** Schema of the answer to the search for a job. */
export const findAnswerSchema = v.object({
  /** The partition of the domain that has the job; absent if none has it. */
  partition: v.optional(v.number()),
  /** The partition of a domain in which the id was cancelled. */
  cancelledIn: v.optional(v.number()),
  /** The partition of a domain to which a call in progress may add the job. */
  claimedIn: v.optional(v.number()),
  /** The partitions that the instance owns and has searched. */
  searched: v.optional(v.array(v.number()), []),
});

/** Schema of the answer whether an instance is reachable. */
export const reachAnswerSchema = v.object({ reached: v.boolean() });

/** Schema of the answer about the configuration of an instance. */
export const configurationAnswerSchema = v.object({
  /** The version in force there. */
  version: v.number(),
  /** The age of its confirmation, in milliseconds; absent if it has none. */
  ageMs: v.optional(v.pipe(v.number(), v.finite(), v.minValue(0))),
  /** The record of the configuration, if the calling instance lacks it. */
  record: v.optional(v.object({ key: v.string(), value: v.string() })),
});

/** The answer about the configuration of an instance. */
export type ConfigurationAnswer = v.InferOutput<
  typeof configurationAnswerSchema
>;

/** Schema of the acknowledgement of a call without a result. */
export const acknowledgementSchema = v.object({ kind: v.literal("done") });

/** Schema of the addresses of owners by partition number. */
export const ownersAnswerSchema = v.record(v.string(), v.string());
