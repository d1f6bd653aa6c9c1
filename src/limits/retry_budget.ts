/** How many retries are allowed. */
export type RetryBudgetOptions = {
  /** Retries allowed per first attempt, such as 0.1. */
  retriesPerAttempt: number;
  /** Retries allowed per second without any first attempt. */
  retriesPerS: number;
  /** The most retries that can be saved up. */
  maxSaved: number;
};

/** A token bucket of retries, filled by first attempts. */
export type RetryBudget = {
  options: RetryBudgetOptions;
  saved: number;
  /** When the bucket was last filled by time, on the steady clock. */
  filledAtMs: number;
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
 * @param atMs the steady clock
 */
export function createRetryBudget(
  options: RetryBudgetOptions,
  atMs: number,
): RetryBudget {
  return { options, saved: options.maxSaved, filledAtMs: atMs };
}

/**
 * Notes a first attempt, which earns a part of a retry.
 *
 * @example
 * ```ts
 * noteFirstAttempt(budget);
 * ```
 */
export function noteFirstAttempt(budget: RetryBudget): void {
  save(budget, budget.options.retriesPerAttempt);
}

/**
 * Takes one retry out of the budget.
 *
 * @example
 * ```ts
 * if (spendRetry(budget, clock.steadyMs())) sendAgain(call);
 * ```
 *
 * @param atMs the steady clock
 * @returns false where no retry is left; the call must not be sent now
 */
export function spendRetry(budget: RetryBudget, atMs: number): boolean {
  const elapsedMs = Math.max(0, atMs - budget.filledAtMs);
  budget.filledAtMs = Math.max(budget.filledAtMs, atMs);
  save(budget, elapsedMs * budget.options.retriesPerS / 1_000);
  if (budget.saved < 1) return false;
  budget.saved -= 1;
  return true;
}

function save(budget: RetryBudget, retries: number): void {
  budget.saved = Math.min(budget.options.maxSaved, budget.saved + retries);
}
