import { parseStepKey } from "./step_run.ts";

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

/**
 * Returns the id of the job to which a record belongs; undefined for records of
 * other things.
 *
 * @example
 * ```ts
 * jobOfRecord("step/5c0e7a21d94b36f8.0.1"); // "5c0e7a21d94b36f8"
 * ```
 */
export function jobOfRecord(key: string): string | undefined {
  if (key.startsWith(STEP_PREFIX)) {
    return parseStepKey(key.slice(STEP_PREFIX.length))?.job;
  }
  const prefix = [JOB_PREFIX, CANCELLED_PREFIX].find((candidate) =>
    key.startsWith(candidate)
  );
  return prefix === undefined ? undefined : key.slice(prefix.length);
}

/**
 * Returns what a record is stored together with: the id of its job, or else its
 * own key. The order of the records of a job matters.
 *
 * @example
 * ```ts
 * recordGroupOf("usage/2026-12-04"); // "usage/2026-12-04"
 * ```
 */
export function recordGroupOf(key: string): string {
  return jobOfRecord(key) ?? key;
}

/** Key of the record of a step in one occurrence of a job. */
export function stepRecordKey(stepKey: string): string {
  return STEP_PREFIX + stepKey;
}
