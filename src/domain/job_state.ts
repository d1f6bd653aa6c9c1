import type { Domain } from "./domain.ts";
import type { JobRun } from "./job_run.ts";

/** The state of a job as callers see it. */
export type JobState =
  | "pending"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** The state of a job; undefined where the domain does not know it. */
export function jobStateOf(domain: Domain, id: string): JobState | undefined {
  const run = domain.jobs.get(id);
  return run === undefined ? undefined : jobRunState(run);
}

/** The state of a job that the domain knows. */
export function jobRunState(run: JobRun): JobState {
  const { outcome } = run.job;
  if (outcome !== "open") return outcome;
  return run.hasStarted ? "running" : "pending";
}

/** How many open jobs of a queue have not started a task. */
export function countPendingJobs(domain: Domain, queue: string): number {
  let count = 0;
  for (const run of domain.jobs.values()) {
    if (run.job.policy.queue !== queue || run.hasStarted) continue;
    if (run.job.outcome === "open") count += 1;
  }
  return count;
}
