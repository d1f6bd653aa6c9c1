import { uncountSubmission } from "./account_rate.ts";
import type { Domain } from "./domain.ts";
import { jobKey, stepRecordKey } from "./record_keys.ts";
import { releaseTask } from "./task_placement.ts";
import { taskNameOf } from "./step_run.ts";

/**
 * Removes a job before any record, order or answer about it has left the
 * process, so that the submission can be rejected as one without effect.
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
      domain.waitingSteps.delete(run);
      // Records of an earlier job with this id still have to be deleted.
      if (job.hasEarlierRecords) continue;
      domain.dirtyKeys.delete(stepRecordKey(run.key));
    }
  }
  if (job.job.isBeyondRate !== true && job.job.outcome === "open") {
    uncountSubmission(domain, job.job.policy.clientAccount);
  }
  domain.scheduledJobs.delete(job);
  domain.jobs.delete(id);
  if (!job.hasEarlierRecords) domain.dirtyKeys.delete(jobKey(id));
}
