import type { DomainCall } from "./peer_call.ts";

/** The shortest delay that a caller is asked for, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
/** The longest delay that a caller is asked for, in milliseconds. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Share of a job's objective after which its caller should try again. */
const OBJECTIVE_SHARE = 0.5;

/**
 * Returns when a caller should repeat a call that was refused because the store
 * does not answer, in milliseconds. An outage is expected to last as long again
 * as it already has, but a caller that waits longer than its job is useful gains
 * nothing: short jobs try again soon, and leave the time after a long outage to
 * those whose results are still worth something then.
 *
 * @param silentMs how long the store has not answered, in milliseconds
 *
 * @example
 * ```ts
 * retryAfterOutageMs({ kind: "state", partition: 3, job: "a" }, 4_000); // 1000
 * ```
 */
export function retryAfterOutageMs(call: DomainCall, silentMs: number): number {
  const longestMs = Math.min(usefulDelayMs(call), MAX_RETRY_AFTER_MS);
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(silentMs, longestMs));
}

function usefulDelayMs(call: DomainCall): number {
  if (call.kind !== "submit") return MIN_RETRY_AFTER_MS;
  const { policy, request } = call;
  const longestStepMs = Math.max(
    ...request.steps.map(({ estimateMs }) => estimateMs),
  );
  const objectiveMs = policy.slackFactor * longestStepMs +
    policy.targetCompletionMs;
  return objectiveMs * OBJECTIVE_SHARE;
}
