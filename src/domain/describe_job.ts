import * as v from "valibot";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { explainWait, waitReportSchema } from "./explain_wait.ts";
import {
  imageOf,
  type InterferenceRow,
  interferenceRowSchema,
  listInterference,
} from "./interference/mod.ts";
import { mayHaveUnlistedRuns } from "./job_lifecycle.ts";
import type { JobRun } from "./job_run.ts";
import { jobRunState } from "./job_state.ts";
import type { TaskState } from "./task_state.ts";

/** The most pairs of images that a description lists. */
const MAX_LISTED_PAIRS = 8;

/** Schema of the status of one task of a job. */
export const taskDescriptionSchema = v.object({
  /** Index among all tasks of the job, from 0. */
  index: v.number(),
  state: v.picklist(["queued", "starting", "running", "done"]),
  worker: v.optional(v.string()),
  /** The highest attempt so far; 0 before the first. */
  attempt: v.number(),
  failures: v.number(),
});

/** Status of one task of a job. */
export type TaskDescription = v.InferOutput<typeof taskDescriptionSchema>;

/** Schema of the description of a job by the owner of its domain. */
export const jobDescriptionSchema = v.object({
  id: v.string(),
  queue: v.string(),
  customer: v.optional(v.string()),
  agreement: v.optional(v.string()),
  /** The service whose workers run it. */
  service: v.string(),
  /** Text that is passed to the workers; empty once the job was compacted. */
  specification: v.string(),
  state: v.picklist(["pending", "running", "completed", "failed", "cancelled"]),
  /** Whether a task was ever placed. */
  hasStarted: v.boolean(),
  acceptedAtMs: v.number(),
  /** Longest wait before its first task starts, in milliseconds. */
  startWithinMs: v.optional(v.number()),
  /** When it ended, in milliseconds since the epoch. */
  endedAtMs: v.optional(v.number()),
  /** Empty for an ended job without an agreement, which is compacted. */
  tasks: v.array(taskDescriptionSchema),
  /** Why tasks wait, for each step that has waiting tasks. */
  waits: v.array(waitReportSchema),
  /**
   * What the owner has learned of its images beside others on one worker, the
   * largest effect first; absent without any, and in earlier versions.
   */
  interference: v.optional(v.array(interferenceRowSchema)),
});

/** Description of a job by the owner of its domain. */
export type JobDescription = v.InferOutput<typeof jobDescriptionSchema>;

/**
 * Describes a job with the tasks of its first occurrence.
 *
 * @example
 * ```ts
 * describeJob(domain, "5c0e7a21d94b36f8", moment)?.state; // "running"
 * ```
 */
export function describeJob(
  domain: Domain,
  id: string,
  moment: Moment,
): JobDescription | undefined {
  const run = domain.jobs.get(id);
  return run === undefined ? undefined : describe(domain, run, moment);
}

/** Describes every job of a customer. */
export function describeCustomerJobs(
  domain: Domain,
  customer: string,
  moment: Moment,
): JobDescription[] {
  return [...domain.jobs.values()]
    .filter(({ job }) => job.policy.customer === customer)
    .map((run) => describe(domain, run, moment));
}

function describe(
  domain: Domain,
  run: JobRun,
  moment: Moment,
): JobDescription {
  const { id, policy, acceptedAtMs, startWithinMs, endedAtMs, specification } =
    run.job;
  const { queue, service, customer, agreement } = policy;
  const waiting = [...domain.waitingSteps].filter(({ jobRun }) =>
    jobRun === run
  );
  return {
    id,
    queue,
    service,
    ...(customer === undefined ? {} : { customer }),
    ...(agreement === undefined ? {} : { agreement }),
    specification,
    state: jobRunState(run),
    hasStarted: run.hasStarted || mayHaveUnlistedRuns(domain, run),
    acceptedAtMs,
    ...(startWithinMs === undefined ? {} : { startWithinMs }),
    ...(endedAtMs === undefined ? {} : { endedAtMs }),
    tasks: describeTasks(run, mayHaveUnlistedRuns(domain, run)),
    waits: waiting.map((step) => explainWait(domain, step, moment)),
    ...describeInterference(domain, run),
  };
}

function describeInterference(
  domain: Domain,
  run: JobRun,
): { interference?: InterferenceRow[] } {
  const images = new Set(
    run.job.steps.map((step) => imageOf({ step, jobRun: run })),
  );
  const interference = listInterference(domain, images, MAX_LISTED_PAIRS);
  return interference.length === 0 ? {} : { interference };
}

function describeTasks(run: JobRun, mayRun: boolean): TaskDescription[] {
  const steps = run.occurrences.get(0)?.steps;
  let firstIndex = 0;
  return run.job.steps.flatMap((step, stepIndex) => {
    const tasks = steps?.get(stepIndex)?.tasks;
    const described = Array.from(
      { length: step.taskCount },
      (_, index) => describeTask(firstIndex + index, tasks?.[index], mayRun),
    );
    firstIndex += step.taskCount;
    return described;
  });
}

function describeTask(
  index: number,
  task: TaskState | undefined,
  mayRun: boolean,
): TaskDescription {
  const unplaced = mayRun ? "starting" : "queued";
  if (task === undefined) {
    return { index, state: unplaced, attempt: 0, failures: 0 };
  }
  const { attempt, failures } = task;
  switch (task.kind) {
    case "waiting":
      return { index, state: unplaced, attempt, failures };
    case "placed": {
      const isRunning = task.phase.kind === "running" ||
        task.phase.kind === "stopping";
      const state = isRunning ? "running" : "starting";
      return { index, state, worker: task.worker, attempt, failures };
    }
    case "done":
      return { index, state: "done", attempt, failures };
  }
}
