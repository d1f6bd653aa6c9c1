/**
 * A scheduling domain: the jobs of its services and the workers that run them.
 * The module does no I/O: it turns events and clock readings into commands and
 * records.
 *
 * @module
 */
export { type AccountWait, sumPossibleAllocations } from "./account_limits.ts";
export { type AdviceRequest, takeAdviceRequest } from "./advice_requests.ts";
export { createDomain, type Domain } from "./domain.ts";
export {
  describeCustomerJobs,
  describeJob,
  type JobDescription,
  jobDescriptionSchema,
  type TaskDescription,
} from "./describe_job.ts";
export * from "./domain_command.ts";
export * from "./domain_event.ts";
export * from "./domain_options.ts";
export type { DomainWorker } from "./domain_worker.ts";
export {
  type TaskView,
  viewTasks,
  viewWorkers,
  type WorkerView,
} from "./domain_view.ts";
export * from "./explain_wait.ts";
export {
  type InterferenceRow,
  interferenceRowSchema,
} from "./interference/mod.ts";
export * from "./job.ts";
export { isHiddenFrom, type JobCaller } from "./job_access.ts";
export { findSizeProblem, isStorablePolicy } from "./job_limits.ts";
export * from "./job_state.ts";
export * from "./owner_entry.ts";
export {
  type JobPreview,
  jobPreviewSchema,
  previewJob,
  type StepPreview,
} from "./preview_job.ts";
export { jobOfRecord, PERMIT_PREFIX, recordGroupOf } from "./record_keys.ts";
export * from "./records.ts";
export * from "./resource_time.ts";
export * from "./apply_domain_event.ts";
export { mayPrecedeCommit, type StartPermit } from "./start_permit.ts";
export { jobOfTask } from "./step_run.ts";
export { type DayUsage, dayUsageSchema } from "./usage.ts";
export * from "./worker_listing.ts";
export * from "./worker_report.ts";
