/** Rate and burst limits of retries. */
export type RetryBudgetOptions = {
  /** Retries allowed per first attempt, such as 0.1. */
  retriesPerAttempt: number;
  /** Retries allowed per second regardless of first attempts. */
  retriesPerSecond: number;
  /** Bucket size: maximum number of retries in a burst. */
  maxTokens: number;
};

/** A token bucket of retries that first attempts and time refill. */
export type RetryBudget = {
  options: RetryBudgetOptions;
  /** Retries available now; may be fractional. */
  tokens: number;
  /** Time of the last refill by elapsed time, on the steady clock. */
  refilledAtMs: number;
};

/**
 * Creates a full budget that limits retries to a fixed fraction of the first
 * attempts, so that retries never multiply the load. A small additional rate
 * per second lets a single caller retry when there is no other traffic.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({
 *   retriesPerAttempt: 0.1,
 *   retriesPerSecond: 1,
 *   maxTokens: 100,
 * }, clock.steadyMs());
 * ```
 *
 * @param nowMs the present time on the steady clock
 */
export function createRetryBudget(
  options: RetryBudgetOptions,
  nowMs: number,
): RetryBudget {
  return { options, tokens: options.maxTokens, refilledAtMs: nowMs };
}

/**
 * Records a first attempt, which adds a fraction of a retry to the budget.
 *
 * @example
 * ```ts
 * recordFirstAttempt(budget);
 * ```
 */
export function recordFirstAttempt(budget: RetryBudget): void {
  addTokens(budget, budget.options.retriesPerAttempt);
}

/**
 * Takes one retry out of the budget if one is available.
 *
 * @example
 * ```ts
 * if (spendRetry(budget, clock.steadyMs())) resend(call);
 * ```
 *
 * @param nowMs the present time on the steady clock
 * @returns false if the budget is exhausted; the caller must not retry now
 */
export function spendRetry(budget: RetryBudget, nowMs: number): boolean {
  const elapsedMs = Math.max(0, nowMs - budget.refilledAtMs);
  budget.refilledAtMs = Math.max(budget.refilledAtMs, nowMs);
  addTokens(budget, elapsedMs * budget.options.retriesPerSecond / 1_000);
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

function addTokens(budget: RetryBudget, retries: number): void {
  budget.tokens = Math.min(budget.options.maxTokens, budget.tokens + retries);
}
