import { callFault } from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";
import type { Unanswered } from "./instances.ts";
import type { Report } from "./report.ts";

/**
 * Adds to a report which instances it misses. The rest of it is shown, and
 * the exit code says that something is not known yet.
 *
 * @example
 * ```ts
 * return ok(addUnanswered(report, gathered.unanswered));
 * ```
 *
 * @param report its data is an object
 */
export function addUnanswered(
  report: Report,
  unanswered: Unanswered[],
): Report {
  const urls = unanswered.map(({ instance }) => instance.url);
  const isWhole = unanswered.length === 0;
  return {
    data: { ...report.data as object, unanswered: urls },
    text: report.text,
    warnings: unanswered.map(({ fault }) => callFault(fault)),
    exitCode: isWhole ? report.exitCode : exitCodes.notKnownYet,
  };
}
