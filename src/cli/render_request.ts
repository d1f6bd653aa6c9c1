import { assertNever } from "../base/mod.ts";
import type { Outcome, TaskOutcome } from "../model/mod.ts";
import type { View } from "../instance/view.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import type { Report } from "./report.ts";
import { renderFields, renderTable } from "./table.ts";

/** How much of a task's output a table shows, in characters. */
const MAX_DETAIL_LENGTH = 60;

/**
 * Reports where a request stands.
 *
 * @example
 * ```ts
 * const report = reportRequest(view);
 * ```
 */
export function reportRequest(view: View): Report {
  const fields = renderFields([
    ["request", view.id],
    ["outcome", outcomeText(view.outcome)],
    ["kept", keptText(view.durability)],
  ]);
  const table = taskTable(view);
  return {
    data: view,
    text: table === "" ? fields : `${fields}\n\n${table}`,
    exitCode: exitCodeOf(view.outcome),
  };
}

/**
 * Tells whether a request's outcome will not change any more.
 *
 * @example
 * ```ts
 * if (isFinal(view.outcome)) return ok(view);
 * ```
 */
export function isFinal(outcome: Outcome): boolean {
  return outcome.kind !== "notKnownYet" || outcome.state === "lost";
}

function keptText(durability: View["durability"]): string {
  switch (durability) {
    case "log":
      return "in the log";
    case "peer":
      return "at a peer";
    case "none":
      return "at its home only";
    default:
      return assertNever(durability);
  }
}

/**
 * Renders an outcome in a few words.
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
      return isFinal(outcome) ? exitCodes.taskFailed : exitCodes.notKnownYet;
    default:
      return assertNever(outcome);
  }
}

function taskTable(view: View): string {
  if (view.outcome.kind === "ran") return outcomeTable(view.outcome.tasks);
  return view.tasks.length === 0 ? "" : stateTable(view.tasks);
}

function outcomeTable(tasks: TaskOutcome[]): string {
  return renderTable([
    { heading: "TASK", align: "right", cell: ({ index }) => `${index}` },
    { heading: "OUTCOME", cell: ({ kind }) => kind },
    { heading: "WORKER", cell: workerOf },
    { heading: "ATTEMPT", align: "right", cell: attemptOf },
    { heading: "DETAIL", cell: detailOf },
  ], tasks);
}

function stateTable(tasks: View["tasks"]): string {
  return renderTable([
    { heading: "TASK", align: "right", cell: ({ index }) => `${index}` },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "WORKER", cell: ({ worker }) => worker ?? "-" },
    { heading: "ATTEMPT", align: "right", cell: ({ attempt }) => `${attempt}` },
  ], tasks);
}

function workerOf(task: TaskOutcome): string {
  return "worker" in task ? task.worker : "-";
}

function attemptOf(task: TaskOutcome): string {
  return "attempt" in task ? `${task.attempt}` : "-";
}

function detailOf(task: TaskOutcome): string {
  if (task.kind !== "finished") return task.cause;
  const text = JSON.stringify(task.output) ?? "";
  if (text.length <= MAX_DETAIL_LENGTH) return text;
  return `${text.slice(0, MAX_DETAIL_LENGTH - 3)}...`;
}
