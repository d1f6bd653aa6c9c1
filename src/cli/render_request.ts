import { assertNever } from "../base/mod.ts";
import type { Outcome, RequestView, TaskOutcome } from "../model/mod.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import type { Report } from "./report.ts";
import { renderFields, renderTable } from "./table.ts";

/**
 * Builds the report on a request: its outcome and a table of its tasks.
 *
 * @example
 * ```ts
 * const report = reportRequest(view);
 * ```
 */
export function reportRequest(view: RequestView): Report {
  const fields = renderFields([
    ["request", view.id],
    ["outcome", outcomeText(view.outcome)],
  ]);
  const table = taskTable(view);
  return {
    data: view,
    text: table === "" ? fields : `${fields}\n\n${table}`,
    exitCode: exitCodeOf(view.outcome),
  };
}

/**
 * Whether an outcome is final, that is, cannot change any more.
 *
 * @example
 * ```ts
 * if (isFinal(view.outcome)) return ok(view);
 * ```
 */
export function isFinal(outcome: Outcome): boolean {
  return outcome.kind !== "notKnownYet";
}

/**
 * Renders an outcome on one line.
 *
 * @example
 * ```ts
 * outcomeText(view.outcome); // "not known yet (queued): ..."
 * ```
 */
export function outcomeText(outcome: Outcome): string {
  switch (outcome.kind) {
    case "ran":
      return "ran";
    case "didNotRun":
      return `did not run: ${outcome.cause} (SS${outcome.code})`;
    case "notKnownYet":
      return `not known yet (${outcome.state}): ${outcome.cause}`;
    default:
      return assertNever(outcome);
  }
}

function exitCodeOf(outcome: Outcome): ExitCode {
  switch (outcome.kind) {
    case "ran": {
      const allFinished = outcome.tasks.every(({ kind }) =>
        kind === "finished"
      );
      return allFinished ? exitCodes.ok : exitCodes.taskFailed;
    }
    case "didNotRun":
      return exitCodes.refused;
    case "notKnownYet":
      return exitCodes.notKnownYet;
    default:
      return assertNever(outcome);
  }
}

function taskTable(view: RequestView): string {
  if (view.outcome.kind === "ran") return outcomeTable(view.outcome.tasks);
  return view.tasks.length === 0 ? "" : stateTable(view.tasks);
}

function outcomeTable(tasks: TaskOutcome[]): string {
  return renderTable([
    { heading: "TASK", align: "right", cell: ({ index }) => `${index}` },
    { heading: "OUTCOME", cell: ({ kind }) => kind },
    { heading: "ATTEMPT", align: "right", cell: attemptText },
    { heading: "DETAIL", cell: detailText },
  ], tasks);
}

function stateTable(tasks: RequestView["tasks"]): string {
  return renderTable([
    { heading: "TASK", align: "right", cell: ({ index }) => `${index}` },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "WORKER", cell: ({ worker }) => worker ?? "-" },
    { heading: "ATTEMPT", align: "right", cell: ({ attempt }) => `${attempt}` },
  ], tasks);
}

function attemptText(task: TaskOutcome): string {
  return "attempt" in task ? `${task.attempt}` : "-";
}

function detailText(task: TaskOutcome): string {
  return task.kind === "finished" ? "" : task.cause;
}
