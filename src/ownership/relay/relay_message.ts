/**
 * What the owner of a domain and an instance that holds links to workers for
 * it say to each other.
 *
 * @module
 */
import * as v from "valibot";
import {
  lookSchema,
  startAnswerSchema,
  workerOrderSchema,
} from "../../domain/mod.ts";

/** Schema of what an owner tells a relay. */
export const relayMessageSchema = v.variant("kind", [
  v.object({
    kind: v.literal("open"),
    worker: v.string(),
    address: v.string(),
    /** The incarnation whose ends have been acknowledged; 0 for none. */
    bornMs: v.number(),
    acknowledged: v.number(),
    /** Until an earlier link's leases have surely lapsed, in ms. */
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
  /** Until leases of earlier owners have surely lapsed, in ms. */
  v.object({ kind: v.literal("floor"), floorMs: v.number() }),
]);

/** What an owner tells a relay. */
export type RelayMessage = v.InferOutput<typeof relayMessageSchema>;

/** Schema of what a relay tells the owner. */
export const relayEventSchema = v.variant("kind", [
  v.object({
    kind: v.literal("looked"),
    worker: v.string(),
    look: lookSchema,
  }),
  v.object({ kind: v.literal("workerSilent"), worker: v.string() }),
  v.object({ kind: v.literal("workerLapsed"), worker: v.string() }),
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
  /** A worker follows an owner with a higher epoch. */
  v.object({ kind: v.literal("fenced"), cause: v.string() }),
]);

/** What a relay tells the owner. */
export type RelayEvent = v.InferOutput<typeof relayEventSchema>;

/** Schema of the answer of a relay to a batch. */
export const relayCallAnswerSchema = v.object({
  /** A session that is not known to the relay has to begin anew. */
  kind: v.picklist(["taken", "closed"]),
});

/** Schema of the answer of an owner to a batch of events. */
export const relayReportAnswerSchema = v.variant("kind", [
  v.object({
    kind: v.literal("granted"),
    /** How long leases may be granted, counted from the call, in ms. */
    grantMs: v.number(),
    /** The owner's steady clock when it answered. */
    ownerMs: v.number(),
  }),
  v.object({ kind: v.literal("closed") }),
]);

/** The answer of an owner to a batch of events. */
export type RelayReportAnswer = v.InferOutput<typeof relayReportAnswerSchema>;
