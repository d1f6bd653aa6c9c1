import process from "node:process";
import type { Counters, PartLogger } from "../telemetry/mod.ts";

/**
 * Keeps an error that nobody expected from ending the process: it serves many
 * callers and workers, and what failed concerns one of them. The state of a
 * domain does not depend on it, since a reducer that fails is given up.
 *
 * @example
 * ```ts
 * logUncaughtErrors(logger.part("daemon"), counters, signal);
 * ```
 *
 * @param signal ends the protection
 */
export function logUncaughtErrors(
  logger: PartLogger,
  counters: Counters,
  signal: AbortSignal,
): void {
  const report = (error: unknown) => {
    const cause = error instanceof Error ? error.stack ?? error.message : error;
    counters.count("unexpected_errors");
    logger.error("An unexpected error was caught.", { cause: String(cause) });
  };
  process.on("uncaughtException", report);
  process.on("unhandledRejection", report);
  signal.addEventListener("abort", () => {
    process.off("uncaughtException", report);
    process.off("unhandledRejection", report);
  });
}
