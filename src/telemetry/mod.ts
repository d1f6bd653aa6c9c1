/**
 * Logs and metrics of a process.
 *
 * @module
 */
export * from "./bounded_stream.ts";
export * from "./counters.ts";
export * from "./log_part.ts";
export * from "./logger.ts";
