/**
 * Ends tasks, and their requests with them.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import type { Outcome, TaskOutcome, TaskRecord } from "../model/mod.ts";
import { commitInBackground } from "./appends.ts";
import { reportToHome } from "./report_flow.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { notify } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { requestTopic } from "./topics.ts";

/** Ends a task with its final outcome, and its request with the last task. */
export function endTask(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  outcome: TaskOutcome,
): void {
  task.progress = { kind: "ended", outcome };
  note(scheduler, `task.${outcome.kind}`, task.task.id);
  notify(scheduler.runner, requestTopic(entry.request.id));
  if (entry.outcome !== undefined) return;
  recordProgress(scheduler, entry, outcome);
  for (const other of entry.tasks.values()) {
    if (other.progress.kind !== "ended") return;
  }
  finishRequest(scheduler, entry);
}

/** Ends a task that surely never started. */
export function endUnstarted(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  code: number,
  cause: string,
): void {
  if (task.startedOn === undefined && task.task.attempt > 1) {
    endTask(scheduler, entry, task, {
      kind: "lost",
      index: task.task.index,
      cause,
    });
    return;
  }
  if (task.startedOn !== undefined) {
    endTask(scheduler, entry, task, {
      kind: "stopped",
      index: task.task.index,
      worker: task.startedOn ?? "",
      attempt: task.task.attempt,
      cause,
    });
    return;
  }
  entry.refusalCode ??= code;
  if (entry.role === "guest") {
    reportToHome(scheduler, entry.home, [{
      kind: "refused",
      taskId: task.task.id,
      epoch: entry.moveEpoch,
      code,
      cause,
    }]);
  }
  endTask(scheduler, entry, task, {
    kind: "didNotRun",
    index: task.task.index,
    cause,
  });
}

/** Says as an outcome what a record of an ended run tells. */
export function outcomeOf(worker: string, record: TaskRecord): TaskOutcome {
  const { index, attempt } = record.task;
  switch (record.state) {
    case "finished":
      return {
        kind: "finished",
        index,
        worker,
        attempt,
        output: record.output,
      };
    case "failed": {
      const cause = record.cause ?? "";
      return { kind: "failed", index, worker, attempt, cause };
    }
    default: {
      const cause = record.cause ?? "";
      return { kind: "stopped", index, worker, attempt, cause };
    }
  }
}

/** Puts the end of a task of durable work into the log. */
function recordProgress(
  scheduler: Scheduler,
  entry: RequestEntry,
  outcome: TaskOutcome,
): void {
  if (entry.role !== "home" || !entry.request.durable) return;
  if (entry.tasks.size === 1) return;
  const requestId = entry.request.id;
  const outcomes = [outcome];
  commitInBackground(scheduler, { kind: "progressed", requestId, outcomes });
}

function finishRequest(scheduler: Scheduler, entry: RequestEntry): void {
  entry.outcome = outcomeOfRequest(entry);
  entry.endedAtMs = scheduler.moment.steadyMs;
  note(scheduler, "request.ended", entry.request.id, entry.outcome.kind);
  if (entry.role === "home" && entry.request.durable) {
    commitInBackground(scheduler, {
      kind: "ended",
      requestId: entry.request.id,
      outcome: entry.outcome,
    });
  }
}

function outcomeOfRequest(entry: RequestEntry): Outcome {
  const tasks = [...entry.tasks.values()]
    .flatMap((task) =>
      task.progress.kind === "ended" ? [task.progress.outcome] : []
    )
    .sort((left, right) => left.index - right.index);
  const lost = tasks.find((task) => task.kind === "lost");
  if (lost !== undefined) {
    return {
      kind: "notKnownYet",
      state: "lost",
      cause: lost.cause,
      retryAfterMs: 0,
    };
  }
  const first = tasks[0];
  if (tasks.every((task) => task.kind === "didNotRun")) {
    return {
      kind: "didNotRun",
      code: entry.refusalCode ?? diagnostics.cancelled.code,
      cause: first?.kind === "didNotRun" ? first.cause : "",
    };
  }
  return { kind: "ran", tasks };
}
