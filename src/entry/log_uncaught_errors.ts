import process from "node:process";
import type { Counters, PartLogger } from "../telemetry/mod.ts";

/**
 * Logs uncaught errors and unhandled rejections instead of letting them end the
 * process, which serves many clients and workers while such an error concerns
 * one of them. The state of a domain stays consistent, since the state of a
 * reducer that throws is discarded and read from the store again.
 *
 * @example
 * ```ts
 * logUncaughtErrors(logger.part("daemon"), counters, signal);
 * ```
 *
 * @param signal removes the handlers when it aborts
 */
export function logUncaughtErrors(
  logger: PartLogger,
  counters: Counters,
  signal: AbortSignal,
): void {
  const report = (error: unknown) => {
    const cause = error instanceof Error ? error.stack ?? error.message : error;
    counters.count("unexpected_errors");
    logger.error("Caught an unexpected error.", { cause: String(cause) });
  };
  process.on("uncaughtException", report);
  process.on("unhandledRejection", report);
  signal.addEventListener("abort", () => {
    process.off("uncaughtException", report);
    process.off("unhandledRejection", report);
  });
}
