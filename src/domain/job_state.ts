import type { Domain } from "./domain.ts";
import type { JobRun } from "./job_run.ts";

/** The state of a job that is reported to callers. */
export type JobState =
  | "pending"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** Returns the state of a job; undefined if the job is unknown. */
export function jobStateOf(domain: Domain, id: string): JobState | undefined {
  const run = domain.jobs.get(id);
  return run === undefined ? undefined : jobRunState(run);
}

/**
 * Whether the state of a job may be reported as final: the store holds its end,
 * which no later owner changes. A job that is no longer kept counts as ended.
 */
export function isOutcomeStored(domain: Domain, id: string): boolean {
  return domain.jobs.get(id)?.isOutcomeStored ?? true;
}

/** Returns the state of a job. */
export function jobRunState(run: JobRun): JobState {
  const { outcome } = run.job;
  if (outcome !== "open") return outcome;
  return run.hasStarted ? "running" : "pending";
}

/**
 * Counts the open jobs of a queue of which no worker is known to have begun a
 * task. A start that was sent may not have arrived.
 */
export function countPendingJobs(domain: Domain, queue: string): number {
  let count = 0;
  for (const run of domain.jobs.values()) {
    if (run.job.policy.queue !== queue || run.hasBegun) continue;
    if (run.job.outcome === "open") count += 1;
  }
  return count;
}

/** Returns the queues of the domain's jobs, also of ended ones. */
export function heldQueuesOf(domain: Domain): Set<string> {
  const queues = new Set<string>();
  for (const { job } of domain.jobs.values()) queues.add(job.policy.queue);
  return queues;
}
