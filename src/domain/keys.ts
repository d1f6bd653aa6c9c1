/** Key of the record of the owners that may still act. */
export const OWNERS_KEY = "owners";
export const JOB_PREFIX = "job/";
export const STEP_PREFIX = "step/";

/** Key of a job's record. */
export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

/** Key of the record of a step of one occurrence. */
export function stepRecordKey(stepKey: string): string {
  return STEP_PREFIX + stepKey;
}
