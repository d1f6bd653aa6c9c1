/**
 * Stand-in of a worker: one lease, tasks that run by timers, an own audit.
 *
 * @module
 */
export * from "./audit.ts";
export * from "./worker.ts";
export * from "./worker_control.ts";
export * from "./worker_options.ts";
