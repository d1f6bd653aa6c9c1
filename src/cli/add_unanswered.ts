import { toCommandFault } from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";
import type { UnansweredInstance } from "./instances.ts";
import type { Report } from "./report.ts";

/**
 * Adds the instances that sent no valid response to a report. If there are
 * any, the exit code becomes `notKnownYet`, because the report is partial.
 *
 * @example
 * ```ts
 * return ok(addUnanswered(report, gathered.unanswered));
 * ```
 *
 * @param report a report whose data is an object
 */
export function addUnanswered(
  report: Report,
  unanswered: UnansweredInstance[],
): Report {
  const urls = unanswered.map(({ instance }) => instance.url);
  const isComplete = unanswered.length === 0;
  return {
    data: { ...report.data as object, unanswered: urls },
    text: report.text,
    warnings: unanswered.map(({ fault }) => toCommandFault(fault)),
    exitCode: isComplete ? report.exitCode : exitCodes.notKnownYet,
  };
}
