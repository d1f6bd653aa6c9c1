/**
 * Limits that keep overload from spreading: retry budget, backoff, admission
 * control and deadlines. Free of side effects: clock readings and randomness
 * are passed in.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./backoff.ts";
export * from "./deadline.ts";
export * from "./retry_budget.ts";
