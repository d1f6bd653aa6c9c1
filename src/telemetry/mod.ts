/**
 * Logs and metrics of a process.
 *
 * @module
 */
export * from "./log_part.ts";
export * from "./logger.ts";
export * from "./metric.ts";
export * from "./metric_sender.ts";
