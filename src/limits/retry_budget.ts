/** How many retries are allowed. */
export type RetryBudgetOptions = {
  /** Retries allowed per first attempt, such as 0.1. */
  retriesPerAttempt: number;
  /** Retries allowed per second without any first attempt. */
  retriesPerSecond: number;
  /** The most retries that can be saved up. */
  maxTokens: number;
};

/** A token bucket of retries, filled by first attempts. */
export type RetryBudget = {
  options: RetryBudgetOptions;
  tokens: number;
  /** When the bucket was last filled by time, on the steady clock. */
  refilledAtMs: number;
};

/**
 * Creates a budget that holds retries to a fixed part of the first attempts,
 * so that retries never multiply the load. A small rate by time lets a single
 * caller retry while nothing else goes on.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({
 *   retriesPerAttempt: 0.1,
 *   retriesPerS: 1,
 *   maxSaved: 100,
 * }, clock.steadyMs());
 * ```
 *
 * @param nowMs the steady clock
 */
export function createRetryBudget(
  options: RetryBudgetOptions,
  nowMs: number,
): RetryBudget {
  return { options, tokens: options.maxTokens, refilledAtMs: nowMs };
}

/**
 * Notes a first attempt, which earns a part of a retry.
 *
 * @example
 * ```ts
 * noteFirstAttempt(budget);
 * ```
 */
export function recordFirstAttempt(budget: RetryBudget): void {
  addTokens(budget, budget.options.retriesPerAttempt);
}

/**
 * Takes one retry out of the budget.
 *
 * @example
 * ```ts
 * if (spendRetry(budget, clock.steadyMs())) sendAgain(call);
 * ```
 *
 * @param nowMs the steady clock
 * @returns false where no retry is left; the call must not be sent now
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
