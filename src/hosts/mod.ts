/**
 * Interfaces to everything outside the process. Production code implements
 * them over HTTP; tests implement them with fakes.
 *
 * @module
 */
export * from "./advice_host.ts";
export * from "./clock.ts";
export * from "./fault.ts";
export * from "./randomness.ts";
export * from "./store_host.ts";
export * from "./store_limits.ts";
export * from "./task_host.ts";
