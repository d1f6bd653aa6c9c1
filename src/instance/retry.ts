/**
 * Waits between the attempts of a call: exponential delays with jitter, and a
 * budget, so that retries never multiply the load.
 *
 * @module
 */
import {
  backoffDelayMs,
  type BackoffOptions,
  spendRetry,
} from "../limits/mod.ts";
import type { Flow } from "./flow.ts";
import type { Scheduler } from "./scheduler.ts";
import { sleep } from "./waits.ts";

const BACKOFF: BackoffOptions = { firstMs: 100, maxMs: 2_000 };
/** How long a retry waits for the budget before it asks again. */
const BUDGET_WAIT_MS = 200;

/**
 * Waits until a call may be tried again.
 *
 * @param retry number of the retry, from 1
 */
export function* waitToRetry(
  scheduler: Scheduler,
  retry: number,
): Flow<void> {
  const { randomness, retryBudget } = scheduler;
  yield* sleep(backoffDelayMs(BACKOFF, retry, randomness));
  while (!spendRetry(retryBudget, scheduler.moment.steadyMs)) {
    yield* sleep(BUDGET_WAIT_MS);
  }
}
