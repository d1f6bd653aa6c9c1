/**
 * What a worker says of its runs.
 *
 * @module
 */
import * as v from "valibot";

/** Schema of how a run ended at a worker. */
export const runEndSchema = v.picklist([
  "done",
  /** Through its own fault or the worker's. */
  "failed",
  "stopped",
  /** The worker's lease lapsed. */
  "lapsed",
  /** Another member of the gang ended. */
  "broken",
  /** The gang was not complete in time. */
  "alone",
]);

/** How a run ended at a worker. */
export type RunEnd = v.InferOutput<typeof runEndSchema>;

const endedRunSchema = v.object({
  /** Position in the worker's list of ends, from 1. */
  number: v.number(),
  task: v.string(),
  attempt: v.number(),
  end: runEndSchema,
  checkpoint: v.string(),
});

/** A run that a worker lists as ended. */
export type EndedRun = v.InferOutput<typeof endedRunSchema>;

const listedRunSchema = v.object({
  task: v.string(),
  attempt: v.number(),
  checkpoint: v.string(),
  percent: v.number(),
  /** Tail latency in ms for a service; processor use for anything else. */
  reading: v.number(),
});

/** A run that a worker lists as running. */
export type ListedRun = v.InferOutput<typeof listedRunSchema>;

/** Schema of what a worker listed in answer to one look. */
export const workerReportSchema = v.object({
  bornMs: v.number(),
  running: v.array(listedRunSchema),
  ended: v.array(endedRunSchema),
  /** No later than when the look was sent, on the owner's steady clock. */
  sentAtMs: v.number(),
});

/** What a worker listed in answer to one look. */
export type WorkerReport = v.InferOutput<typeof workerReportSchema>;

const startRejectionSchema = v.picklist([
  "late",
  "room",
  "ticket",
  "unhealthy",
  "invalid",
  "reborn",
]);

/** Why a worker did not start a task. */
export type StartRejection = v.InferOutput<typeof startRejectionSchema>;

/** Schema of how a worker answered a start. */
export const startAnswerSchema = v.variant("kind", [
  v.object({ kind: v.literal("accepted") }),
  /** The worker has stopped or ended this attempt, or a later one. */
  v.object({ kind: v.literal("superseded") }),
  /** Surely not started by this order. */
  v.object({
    kind: v.literal("rejected"),
    cause: startRejectionSchema,
    earlierUnknown: v.boolean(),
  }),
]);

/** How a worker answered a start. */
export type StartAnswer = v.InferOutput<typeof startAnswerSchema>;
