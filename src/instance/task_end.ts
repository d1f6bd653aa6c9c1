/**
 * Ends tasks, and their requests with them.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import type { Outcome, TaskOutcome, TaskRecord } from "../model/mod.ts";
import { adoptionOf, endedOf, type LogRecord } from "../log_state/mod.ts";
import { commitInBackground } from "./appends.ts";
import type { Flow } from "./flow.ts";
import { reportToHome } from "./report_flow.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { notify, spawn } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { LOG_TOPIC, requestTopic } from "./topics.ts";
import { waitForNotice } from "./waits.ts";

/** How often a decision of the log is looked for without a notice. */
const CONFIRM_POLL_MS = 5_000;

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

/** Ends a task whose present attempt surely never started. */
export function endUnstarted(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  code: number,
  cause: string,
): void {
  entry.refusalCode ??= code;
  if (entry.role === "guest") {
    reportToHome(scheduler, entry.home, [{
      kind: "refused",
      taskId: task.task.id,
      epoch: task.moveEpoch,
      code,
      cause,
    }]);
  }
  endTask(scheduler, entry, task, unstartedOutcome(task, cause));
}

/** An earlier attempt may have run, or the attempt waits at a checkpoint. */
function unstartedOutcome(entry: TaskEntry, cause: string): TaskOutcome {
  const { index, attempt } = entry.task;
  const worker = entry.startedOn;
  if (worker !== undefined) {
    return { kind: "stopped", index, worker, attempt, cause };
  }
  return attempt > 1
    ? { kind: "lost", index, cause }
    : { kind: "didNotRun", index, cause };
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
  commitInBackground(scheduler, {
    kind: "progressed",
    requestId: entry.request.id,
    holder: entry.home,
    outcomes: [outcome],
  });
}

function finishRequest(scheduler: Scheduler, entry: RequestEntry): void {
  const outcome = outcomeOfRequest(entry);
  const requestId = entry.request.id;
  if (entry.role === "guest" || !entry.request.durable) {
    setOutcome(scheduler, entry, outcome);
    return;
  }
  const holder = entry.home;
  const record = { kind: "ended", requestId, holder, outcome } as const;
  if (isWitnessed(entry)) {
    setOutcome(scheduler, entry, outcome);
    commitInBackground(scheduler, record);
    return;
  }
  spawn(scheduler.runner, confirmEnd(scheduler, entry, record));
}

/** Tells whether workers' records prove the outcome of every task. */
function isWitnessed(entry: RequestEntry): boolean {
  return [...entry.tasks.values()].every(({ progress }) =>
    progress.kind === "ended" && progress.outcome.kind !== "didNotRun"
  );
}

/**
 * Lets the log decide whether tasks of durable work did not run: a peer may
 * have adopted the work meanwhile, and then this instance knows nothing of it.
 */
function* confirmEnd(
  scheduler: Scheduler,
  entry: RequestEntry,
  record: LogRecord,
): Flow<void> {
  const { id } = entry.request;
  commitInBackground(scheduler, record);
  while (endedOf(scheduler.log, id) === undefined) {
    const adopter = adoptionOf(scheduler.log, id)?.holder;
    if (adopter !== undefined && adopter !== entry.home) break;
    yield* waitForNotice(LOG_TOPIC, CONFIRM_POLL_MS);
  }
  if (scheduler.requests.get(id) !== entry) return;
  const confirmed = endedOf(scheduler.log, id);
  if (confirmed === undefined) scheduler.requests.delete(id);
  else setOutcome(scheduler, entry, confirmed);
}

function setOutcome(
  scheduler: Scheduler,
  entry: RequestEntry,
  outcome: Outcome,
): void {
  entry.outcome = outcome;
  entry.endedAtMs = scheduler.moment.steadyMs;
  note(scheduler, "request.ended", entry.request.id, outcome.kind);
  notify(scheduler.runner, requestTopic(entry.request.id));
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
