import type { Domain } from "./domain.ts";
import { jobKey, stepRecordKey } from "./record_keys.ts";
import { releaseTask } from "./task_placement.ts";
import { taskNameOf } from "./step_run.ts";

/**
 * Takes back a job of which nothing has left the process: no record, no order
 * and no answer. Its caller may then be told that it has not run.
 */
export function withdrawJob(domain: Domain, id: string): void {
  const job = domain.jobs.get(id);
  if (job === undefined) return;
  for (const occurrence of job.occurrences.values()) {
    for (const run of occurrence.steps.values()) {
      run.tasks.forEach((task, index) => {
        if (task.kind !== "placed") return;
        const worker = domain.workers.get(task.worker);
        if (worker !== undefined) releaseTask(worker, taskNameOf(run, index));
      });
      domain.steps.delete(run.key);
      domain.waiting.delete(run);
      domain.dirty.delete(stepRecordKey(run.key));
    }
  }
  domain.scheduled.delete(job);
  domain.jobs.delete(id);
  domain.dirty.delete(jobKey(id));
}
