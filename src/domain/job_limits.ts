import { Buffer } from "node:buffer";
import { MAX_RECORD_BYTES } from "../hosts/mod.ts";
import type { JobRequest, QueuePolicy } from "./job.ts";

/** Room for what a job's record holds in addition to the request, in bytes. */
const RECORD_MARGIN_BYTES = 16_384;
/** The most that a placed task adds to the record of its step, in bytes. */
const MAX_BYTES_PER_TASK = 80;
const MAX_TASKS_PER_STEP = Math.floor(
  (MAX_RECORD_BYTES - RECORD_MARGIN_BYTES) / MAX_BYTES_PER_TASK,
);
const MAX_OCCURRENCES = 10_000;
/** The most tasks of a job in all its occurrences, which may be due at once. */
const MAX_TASKS_PER_JOB = 100_000;

/** Room for what is known of a job besides its request and policy, in bytes. */
const OUTCOME_MARGIN_BYTES = 1_024;

/**
 * Whether the policy of a queue leaves room in the records of its jobs for the
 * requests that `findSizeProblem` accepts.
 *
 * @example
 * ```ts
 * if (!isStorablePolicy(route.policy)) refuse(submission);
 * ```
 */
export function isStorablePolicy(policy: QueuePolicy): boolean {
  return Buffer.byteLength(JSON.stringify(policy)) <=
    RECORD_MARGIN_BYTES - OUTCOME_MARGIN_BYTES;
}

/**
 * Returns why a job is too large to be accepted, if it is: an owner has to hold
 * it in memory, and the store its records.
 *
 * @example
 * ```ts
 * const problem = findSizeProblem(request); // "steps.0: more than 3072 tasks"
 * ```
 */
export function findSizeProblem(request: JobRequest): string | undefined {
  const { steps, schedule } = request;
  const wide = steps.findIndex(({ taskCount }) =>
    taskCount > MAX_TASKS_PER_STEP
  );
  if (wide >= 0) return `steps.${wide}: more than ${MAX_TASKS_PER_STEP} tasks`;
  const occurrences = schedule?.occurrences ?? 1;
  if (occurrences > MAX_OCCURRENCES) {
    return `more than ${MAX_OCCURRENCES} occurrences`;
  }
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks * occurrences > MAX_TASKS_PER_JOB) {
    return `more than ${MAX_TASKS_PER_JOB} tasks`;
  }
  const maxBytes = MAX_RECORD_BYTES - RECORD_MARGIN_BYTES;
  if (Buffer.byteLength(JSON.stringify(request)) > maxBytes) {
    return `more than ${maxBytes} bytes`;
  }
  return undefined;
}
