import * as v from "valibot";
import { resourcesSchema } from "../model/mod.ts";

/** Schema of one step of a job: identical tasks with the same constraints. */
export const stepSchema = v.object({
  taskCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Resources that one task needs on a worker. */
  demand: resourcesSchema,
  /** Estimated duration of one task, in milliseconds. */
  estimateMs: v.number(),
  /** Indexes of the predecessors, which have to be done first. */
  after: v.array(v.number()),
  /** Whether the tasks make progress only while all of them run. */
  gang: v.boolean(),
  /** Whether a gang is slowed down when it spans racks. */
  colocated: v.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  longRunning: v.boolean(),
  /** Whether the tasks run on processor time that others leave unused. */
  opportunistic: v.boolean(),
  /** Whether a stopped task can resume from a checkpoint. */
  checkpointed: v.boolean(),
  requiredLabel: v.optional(v.string()),
  /** Rack that stores the data; tasks run slower on any other. */
  dataRack: v.optional(v.string()),
  /** The most tasks of the step that may share a worker. */
  maxPerWorker: v.optional(v.number()),
  /** Upper bound on the tail latency of a service, in milliseconds. */
  latencyGoalMs: v.optional(v.number()),
  /**
   * What its tasks run: those of one image behave alike. Kept for services with
   * a goal and for opportunistic steps; their queue stands for it if absent.
   */
  image: v.optional(v.string()),
  /** Whether a task that may have run must not be started again. */
  atMostOnce: v.optional(v.boolean()),
});

/** One step of a job. */
export type Step = v.InferOutput<typeof stepSchema>;

/** Schema of the cost of an advice request about a step. */
export const adviceCostSchema = v.object({
  /** Fixed duration of a call, in milliseconds. */
  decideMs: v.number(),
  /** Additional duration for each worker that the call names, in ms. */
  perWorkerMs: v.number(),
  /** How long a ticket is valid, in milliseconds. */
  validMs: v.number(),
});

/** Schema of how the jobs of a queue are treated. */
export const queuePolicySchema = v.object({
  queue: v.string(),
  /** The service whose workers run the tasks. */
  service: v.string(),
  /** Scheduling priority; 0 is the highest. */
  priority: v.number(),
  /** Number of failures of a task or gang at which its job fails. */
  maxAttempts: v.number(),
  /** Factor of the objective on the longest chain of expected work. */
  slackFactor: v.number(),
  /** Constant part of the objective, in milliseconds. */
  targetCompletionMs: v.number(),
  /** Present if workers require a ticket for each step. */
  advice: v.optional(adviceCostSchema),
  /** The customer to whom the job belongs, if customers are configured. */
  customer: v.optional(v.string()),
  /** The agreement that the job's usage is charged to. */
  agreement: v.optional(v.string()),
  /** Name of the client account that the job belongs to, if there are any. */
  clientAccount: v.optional(v.string()),
  /** The agreed capacity; work beyond it is scheduled after other work. */
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

/** Schema of a job as callers submit it. */
export const jobRequestSchema = v.object({
  id: v.string(),
  /** Opaque text that is passed to the workers. */
  specification: v.string(),
  steps: v.pipe(v.array(stepSchema), v.minLength(1)),
  schedule: v.optional(scheduleSchema),
  /** How long the job may wait before it starts, in milliseconds. */
  startWithinMs: v.optional(v.number()),
});

/** A job as callers submit it. */
export type JobRequest = v.InferOutput<typeof jobRequestSchema>;

/** Schema of an accepted job, as the store keeps it. */
export const jobSchema = v.object({
  ...jobRequestSchema.entries,
  /** Empty once the job has ended and been reduced to its outcome. */
  steps: v.array(stepSchema),
  policy: queuePolicySchema,
  /** Whether its client account had exceeded its rate when it was accepted. */
  isBeyondRate: v.optional(v.boolean()),
  /** When the job was accepted, in milliseconds since the epoch. */
  acceptedAtMs: v.number(),
  outcome: v.picklist(["open", "completed", "failed", "cancelled"]),
  /** When the job ended, in milliseconds since the epoch. */
  endedAtMs: v.optional(v.number()),
});

/** An accepted job. */
export type Job = v.InferOutput<typeof jobSchema>;
