/**
 * Uses the retry budget of the library: a service that fails every call
 * receives few retries, however many the callers attempt.
 *
 * @module
 */
import {
  createRetryBudget,
  recordFirstAttempt,
  spendRetry,
} from "samphirestage";

const CALLS = 1_000;
const ATTEMPTS_PER_CALL = 4;
const CALL_INTERVAL_MS = 10;

const budget = createRetryBudget({
  retriesPerAttempt: 0.1,
  retriesPerSecond: 1,
  maxTokens: 10,
}, 0);

let sent = 0;
for (let call = 0; call < CALLS; call++) {
  recordFirstAttempt(budget);
  sent += 1 + countRetries(call * CALL_INTERVAL_MS);
}
console.log(`${CALLS} calls, ${ATTEMPTS_PER_CALL} attempts requested per call`);
console.log(`without a budget: ${CALLS * ATTEMPTS_PER_CALL} attempts`);
console.log(`with the budget: ${sent} attempts`);

/** Counts the retries of a failing call, up to the budget or the call limit. */
function countRetries(atMs: number): number {
  let retries = 0;
  while (retries + 1 < ATTEMPTS_PER_CALL && spendRetry(budget, atMs)) {
    retries += 1;
  }
  return retries;
}
