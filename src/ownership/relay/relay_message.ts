/**
 * Protocol between the owner of a domain and a relay: an instance that holds
 * links to workers on the owner's behalf.
 *
 * @module
 */
import * as v from "valibot";
import {
  startAnswerSchema,
  workerOrderSchema,
  workerReportSchema,
} from "../../domain/mod.ts";

/** Schema of a message from an owner to a relay. */
export const relayMessageSchema = v.variant("kind", [
  v.object({
    kind: v.literal("open"),
    worker: v.string(),
    address: v.string(),
    /** The fence of the first calls; missing in messages of earlier versions. */
    fence: v.optional(v.number()),
    /**
     * Start time of the worker incarnation that `acknowledged` refers to, in
     * milliseconds since the epoch; 0 if nothing has been acknowledged.
     */
    bornMs: v.number(),
    acknowledged: v.number(),
    /**
     * The incarnation of the worker that the owner knows; 0 if an earlier owner
     * may have called another one, missing if nobody has called the worker, and
     * in messages of earlier versions.
     */
    knownBornMs: v.optional(v.number()),
    /** Time until leases of an earlier link have certainly expired, in ms. */
    floorMs: v.number(),
  }),
  v.object({ kind: v.literal("close"), worker: v.string() }),
  v.object({ kind: v.literal("order"), order: workerOrderSchema }),
  v.object({
    kind: v.literal("acknowledge"),
    worker: v.string(),
    bornMs: v.number(),
    lastEnd: v.number(),
  }),
  /** Time until leases of earlier owners have certainly expired, in ms. */
  v.object({ kind: v.literal("floor"), floorMs: v.number() }),
]);

/** A message from an owner to a relay. */
export type RelayMessage = v.InferOutput<typeof relayMessageSchema>;

/** Schema of an event that a relay reports to the owner. */
export const relayEventSchema = v.variant("kind", [
  v.object({
    kind: v.literal("looked"),
    worker: v.string(),
    look: workerReportSchema,
  }),
  v.object({ kind: v.literal("workerSilent"), worker: v.string() }),
  v.object({
    kind: v.literal("workerLapsed"),
    worker: v.string(),
    /** Missing in events of earlier versions. */
    isReplaced: v.optional(v.boolean()),
    /** Missing in events of earlier versions. */
    unansweredStarts: v.optional(v.array(v.string())),
    /** Missing in events of earlier versions. */
    reachedStarts: v.optional(v.array(v.string())),
    /** Missing in events of earlier versions. */
    heldStarts: v.optional(v.array(v.string())),
  }),
  v.object({
    kind: v.literal("startAnswered"),
    worker: v.string(),
    task: v.string(),
    attempt: v.number(),
    answer: startAnswerSchema,
  }),
  v.object({
    kind: v.literal("stopConfirmed"),
    worker: v.string(),
    task: v.string(),
    attempt: v.number(),
  }),
  /** A worker has accepted a call with a higher fence. */
  v.object({
    kind: v.literal("fenced"),
    cause: v.string(),
    /** Missing in events of earlier versions. */
    worker: v.optional(v.string()),
  }),
]);

/** An event that a relay reports to the owner. */
export type RelayEvent = v.InferOutput<typeof relayEventSchema>;

/** Schema of a relay's answer to a batch of messages. */
export const relayCallAnswerSchema = v.object({
  /** `closed`: the relay does not know the session; start a new one. */
  kind: v.picklist(["taken", "closed"]),
});

/** Schema of an owner's answer to a batch of events. */
export const relayReportAnswerSchema = v.variant("kind", [
  v.object({
    kind: v.literal("granted"),
    /** How long the relay may grant leases, measured from its call, in ms. */
    grantMs: v.number(),
    /**
     * How far from its call a lease may end at the latest, in milliseconds;
     * missing in answers of earlier versions.
     */
    leaseLimitMs: v.optional(v.number()),
    /** The owner's clock when it answered, in milliseconds. */
    ownerMs: v.number(),
  }),
  v.object({ kind: v.literal("closed") }),
]);

/** An owner's answer to a batch of events. */
export type RelayReportAnswer = v.InferOutput<typeof relayReportAnswerSchema>;
