export const OWNER_PREFIX = "owner/";
export const USAGE_PREFIX = "usage/";
export const JOB_PREFIX = "job/";
export const STEP_PREFIX = "step/";
export const PERMIT_PREFIX = "permit/";
export const CANCELLED_PREFIX = "cancelled/";

/** Key of the record of an owner that may still renew leases of workers. */
export function ownerKey(epoch: number): string {
  return `${OWNER_PREFIX}${epoch}`;
}

/** Key of the usage record of a day, such as `2026-12-04`. */
export function usageKey(day: string): string {
  return USAGE_PREFIX + day;
}

/** Key of the permit to start tasks on a worker before they are recorded. */
export function permitKey(worker: string): string {
  return PERMIT_PREFIX + worker;
}

/** Key of the record of a job that was cancelled before it arrived. */
export function cancelledIdKey(id: string): string {
  return CANCELLED_PREFIX + id;
}

/** Key of a job's record. */
export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

/** Key of the record of a step in one occurrence of a job. */
export function stepRecordKey(stepKey: string): string {
  return STEP_PREFIX + stepKey;
}
