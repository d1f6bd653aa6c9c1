import * as v from "valibot";
import { resourcesSchema } from "../model/mod.ts";

/** Schema of one step of a job: equal tasks that share their constraints. */
export const stepSchema = v.object({
  taskCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** What one task takes on a worker. */
  demand: resourcesSchema,
  /** Rough duration of one task, in milliseconds. */
  estimateMs: v.number(),
  /** Indexes of the steps that have to be done first. */
  after: v.array(v.number()),
  /** Whether the tasks work only while all of them run. */
  gang: v.boolean(),
  /** Whether a gang is slowed down when it spans racks. */
  colocated: v.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  longRunning: v.boolean(),
  /** Whether the tasks use processor time that others leave unused. */
  opportunistic: v.boolean(),
  /** Whether a stopped task can go on from a checkpoint. */
  checkpointed: v.boolean(),
  requiredLabel: v.optional(v.string()),
  /** Rack near the data; tasks are slower on any other. */
  dataRack: v.optional(v.string()),
  /** The most tasks of the step that may share a worker. */
  maxPerWorker: v.optional(v.number()),
  /** Upper bound on the tail latency that users of a service see, in ms. */
  latencyGoalMs: v.optional(v.number()),
  /** Whether a task that may have run must not be started again. */
  atMostOnce: v.optional(v.boolean()),
});

/** One step of a job. */
export type Step = v.InferOutput<typeof stepSchema>;

/** Schema of the cost of asking the placement policy about a step. */
export const adviceCostSchema = v.object({
  /** Fixed part of a call, in milliseconds. */
  decideMs: v.number(),
  /** Added for each worker that the call names, in milliseconds. */
  perWorkerMs: v.number(),
  /** How long a ticket is valid, in milliseconds. */
  validMs: v.number(),
});

/** Schema of how the jobs of a queue are treated. */
export const queuePolicySchema = v.object({
  queue: v.string(),
  /** The service whose workers run the tasks. */
  service: v.string(),
  /** 0 is served first. */
  priority: v.number(),
  /** How often a task may fail before its job has failed. */
  maxAttempts: v.number(),
  /** Factor on the longest chain of work that the objective allows. */
  slackFactor: v.number(),
  /** Constant part of the objective, in milliseconds. */
  targetCompletionMs: v.number(),
  /** Present where workers need a ticket for each step. */
  advice: v.optional(adviceCostSchema),
  /** The client account whose job it is, where accounts are kept. */
  customer: v.optional(v.string()),
  /** The agreement to which the job's use counts. */
  agreement: v.optional(v.string()),
  /** The capacity that is agreed; work beyond it comes after other work. */
  share: v.optional(resourcesSchema),
});

/** How the jobs of a queue are treated. */
export type QueuePolicy = v.InferOutput<typeof queuePolicySchema>;

/** Schema of a job's repetition. */
export const scheduleSchema = v.object({
  /** When the first occurrence is due, in milliseconds since the epoch. */
  startAtMs: v.number(),
  intervalMs: v.number(),
  occurrences: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** Schema of what a caller hands in. */
export const jobRequestSchema = v.object({
  id: v.string(),
  /** Opaque text that is handed to the workers. */
  specification: v.string(),
  steps: v.pipe(v.array(stepSchema), v.minLength(1)),
  schedule: v.optional(scheduleSchema),
  /** How long the job may wait before it starts, in milliseconds. */
  startWithinMs: v.optional(v.number()),
});

/** What a caller hands in. */
export type JobRequest = v.InferOutput<typeof jobRequestSchema>;

/** Schema of an accepted job, as the store keeps it. */
export const jobSchema = v.object({
  ...jobRequestSchema.entries,
  /** Empty once the job has ended and none of its tasks runs any more. */
  steps: v.array(stepSchema),
  policy: queuePolicySchema,
  /** When the job was accepted, in milliseconds since the epoch. */
  acceptedAtMs: v.number(),
  outcome: v.picklist(["open", "completed", "failed", "cancelled"]),
  /** When the job ended, in milliseconds since the epoch. */
  endedAtMs: v.optional(v.number()),
});

/** An accepted job. */
export type Job = v.InferOutput<typeof jobSchema>;
