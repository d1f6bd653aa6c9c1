/**
 * Schemas of a worker's reports on its runs and of its answers to starts.
 *
 * @module
 */
import * as v from "valibot";

/** Schema of how a run ended at a worker. */
export const runEndSchema = v.picklist([
  "done",
  /** The task or its worker failed. */
  "failed",
  "stopped",
  /** The worker's lease expired. */
  "lapsed",
  /** Stopped because another member of the gang ended. */
  "broken",
  /** Stopped because not all members of the gang started in time. */
  "alone",
]);

/** How a run ended at a worker. */
export type RunEnd = v.InferOutput<typeof runEndSchema>;

const endedRunSchema = v.object({
  /** Sequence number among the worker's ends, from 1. */
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
  /** Share of the work that is done, in percent. */
  percent: v.number(),
  /** Tail latency in ms for a service; processor usage for other tasks. */
  reading: v.number(),
});

/** A run that a worker lists as running. */
export type ListedRun = v.InferOutput<typeof listedRunSchema>;

/** Schema of a worker's answer to a poll of its runs. */
export const workerReportSchema = v.object({
  /** Start of the worker's incarnation. */
  bornMs: v.number(),
  running: v.array(listedRunSchema),
  ended: v.array(endedRunSchema),
  /**
   * Whether the worker may have more ends than it lists, so that a run which is
   * not listed may have ended; missing in reports of earlier versions.
   */
  hasMoreEnds: v.optional(v.boolean()),
  /** At or before the sending of the poll, on the owner's steady clock. */
  sentAtMs: v.number(),
  /**
   * Tasks whose start was sent to the incarnation that reported before, and not
   * answered. Only in the first report of an incarnation after another one;
   * missing in those of earlier versions.
   */
  unansweredStarts: v.optional(v.array(v.string())),
  /** Those of them that certainly reached it before it ended. */
  reachedStarts: v.optional(v.array(v.string())),
});

/** A worker's answer to a poll: its running tasks and its ended ones. */
export type WorkerReport = v.InferOutput<typeof workerReportSchema>;

const startRejectionSchema = v.picklist([
  "late",
  "room",
  "ticket",
  "unhealthy",
  "invalid",
  "reborn",
  /** The worker answers polls, but not the start. */
  "unanswered",
]);

/** Why a worker did not start a task. */
export type StartRejection = v.InferOutput<typeof startRejectionSchema>;

/** Schema of a worker's answer to a start order. */
export const startAnswerSchema = v.variant("kind", [
  v.object({ kind: v.literal("accepted") }),
  /** The worker has already stopped or ended this attempt or a later one. */
  v.object({ kind: v.literal("superseded") }),
  /** Certainly not started by this order. */
  v.object({
    kind: v.literal("rejected"),
    cause: startRejectionSchema,
    /** Whether an earlier copy of the order may still start the task. */
    earlierUnknown: v.boolean(),
  }),
]);

/** A worker's answer to a start order. */
export type StartAnswer = v.InferOutput<typeof startAnswerSchema>;
