import * as v from "valibot";
import {
  jobDescriptionSchema,
  jobRequestSchema,
  queuePolicySchema,
} from "../domain/mod.ts";
import { relayEventSchema, relayMessageSchema } from "../ownership/mod.ts";

/** Schema of what one entry instance asks of another. */
export const peerCallSchema = v.variant("kind", [
  v.object({
    kind: v.literal("submit"),
    partition: v.number(),
    request: jobRequestSchema,
    policy: queuePolicySchema,
  }),
  v.object({
    kind: v.literal("cancel"),
    partition: v.number(),
    job: v.string(),
  }),
  v.object({
    kind: v.literal("state"),
    partition: v.number(),
    job: v.string(),
  }),
  v.object({
    kind: v.literal("pending"),
    partition: v.number(),
    queue: v.string(),
  }),
  /** A job with its tasks. */
  v.object({
    kind: v.literal("describe"),
    partition: v.number(),
    job: v.string(),
  }),
  v.object({
    kind: v.literal("advise"),
    stepKey: v.string(),
    workers: v.array(v.string()),
    costMs: v.number(),
  }),
  /** An owner has the instance hold links to workers. */
  v.object({
    kind: v.literal("relay"),
    session: v.string(),
    owner: v.string(),
    epoch: v.number(),
    ownerMs: v.number(),
    first: v.number(),
    messages: v.array(relayMessageSchema),
  }),
  /** What links that the instance holds have reported. */
  v.object({
    kind: v.literal("relayed"),
    session: v.string(),
    isLeaving: v.boolean(),
    first: v.number(),
    messages: v.array(relayEventSchema),
  }),
  /** Which of its domains knows a job. */
  v.object({ kind: v.literal("find"), job: v.string() }),
  /** Which instance owns which domain, as the other one knows it. */
  v.object({ kind: v.literal("owners") }),
  /** An instance has taken a domain over. */
  v.object({
    kind: v.literal("owned"),
    owner: v.string(),
    domain: v.number(),
    epoch: v.number(),
  }),
  /** A successor owns the domain; the earlier owner has to have ended. */
  v.object({
    kind: v.literal("release"),
    domain: v.number(),
    epoch: v.number(),
  }),
  /** The store turns a member away; the instance takes its place. */
  v.object({ kind: v.literal("succeed"), member: v.string() }),
  /** Whether the instance reaches another one. */
  v.object({ kind: v.literal("reach"), instance: v.string() }),
  /** Domains were given up; a member gets them when it confirms itself. */
  v.object({ kind: v.literal("confirm") }),
]);

/** What one entry instance asks of another. */
export type PeerCall = v.InferOutput<typeof peerCallSchema>;

/** A call about one domain. */
export type DomainCall = Extract<PeerCall, { partition: number }>;

/** Schema of the answer to a call about a domain. */
export const domainAnswerSchema = v.variant("kind", [
  v.object({ kind: v.literal("accepted") }),
  v.object({ kind: v.literal("unknownJob") }),
  /** The instance does not own the domain; nothing was done. */
  v.object({ kind: v.literal("notOwner") }),
  /** The owner lost the domain; the change may be in the store. */
  v.object({ kind: v.literal("lost") }),
  /** The store has not answered for a while; nothing was done. */
  v.object({ kind: v.literal("storeDown"), silentMs: v.number() }),
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
  v.object({ kind: v.literal("pending"), jobs: v.number() }),
  v.object({ kind: v.literal("description"), job: jobDescriptionSchema }),
]);

/** The answer to a call about a domain. */
export type DomainAnswer = v.InferOutput<typeof domainAnswerSchema>;

/** Schema of the answer to a question to the placement policy. */
export const adviceAnswerSchema = v.object({
  allowed: v.array(v.tuple([v.string(), v.string()])),
  validMs: v.number(),
});

/** Schema of the answer to the search for a job. */
export const findAnswerSchema = v.object({
  /** The partition whose domain knows the job. */
  partition: v.optional(v.number()),
});

/** Schema of the answer to the question whether an instance is reached. */
export const reachAnswerSchema = v.object({ reached: v.boolean() });

/** Schema of the answer to a call that only has to arrive. */
export const acknowledgementSchema = v.object({ kind: v.literal("done") });

/** Schema of the answer to the question for owners. */
export const ownersAnswerSchema = v.record(v.string(), v.string());
