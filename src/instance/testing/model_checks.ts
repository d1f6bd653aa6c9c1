/**
 * What must always hold, judged by the histories of the workers and by what
 * callers were answered.
 *
 * @module
 */
import type { Outcome } from "../../model/mod.ts";
import type { CallAnswer } from "../view.ts";
import { type FakeWorker, type HistoryRun, outputOf } from "./fake_worker.ts";

/** A request as its caller knows it. */
export type ModelRequest = {
  id: string;
  work: string;
  count: number;
  /** Submissions that were sent. */
  submissions: number;
};

/** The histories and answers so far. */
export type ModelChecks = {
  runs: HistoryRun[];
  runsByTask: Map<string, HistoryRun[]>;
  /** Tasks that a caller was told did not run. */
  denied: Map<string, string>;
  violations: string[];
  /** Answers by kind, to see what the schedules reach. */
  counts: Map<string, number>;
};

/** Creates checks that have seen nothing. */
export function createModelChecks(): ModelChecks {
  return {
    runs: [],
    runsByTask: new Map(),
    denied: new Map(),
    violations: [],
    counts: new Map(),
  };
}

/** Checks a run that has just begun. */
export function checkStart(
  checks: ModelChecks,
  run: HistoryRun,
  workers: FakeWorker[],
): void {
  count(checks, "started");
  const earlier = checks.runsByTask.get(run.taskId) ?? [];
  const { taskId, worker } = run;
  if (!run.idempotent && earlier.length > 0) {
    const [first] = earlier;
    violate(
      checks,
      `${taskId} is not idempotent and ran at ${first!.worker}, then ${worker}`,
    );
  }
  for (const other of workers) {
    const live = other.runs.get(taskId);
    if (other.address.id === worker || live?.record.state !== "running") {
      continue;
    }
    violate(checks, `${taskId} runs at ${other.address.id} and ${worker}`);
  }
  const denial = checks.denied.get(taskId);
  if (denial !== undefined) {
    violate(checks, `${taskId} started at ${worker} after: ${denial}`);
  }
  checks.runs.push(run);
  checks.runsByTask.set(taskId, [...earlier, run]);
}

/** Checks what a caller was answered about a request. */
export function checkAnswer(
  checks: ModelChecks,
  request: ModelRequest,
  answer: CallAnswer,
): void {
  if (answer.kind === "problem") {
    count(checks, `problem ${answer.code}`);
    if (answer.ran !== false || request.submissions > 1) return;
    for (let index = 0; index < request.count; index++) {
      requireUnstarted(checks, `${request.id}/${index}`, answer.detail);
    }
    return;
  }
  if (answer.kind !== "view") return;
  count(checks, answer.view.outcome.kind);
  if (answer.view.id !== request.id) {
    violate(checks, `${request.id} was answered for ${answer.view.id}`);
  }
  checkOutcome(checks, request, answer.view.outcome);
}

function checkOutcome(
  checks: ModelChecks,
  request: ModelRequest,
  outcome: Outcome,
): void {
  if (outcome.kind === "didNotRun") {
    for (let index = 0; index < request.count; index++) {
      deny(checks, `${request.id}/${index}`, outcome.cause);
    }
    return;
  }
  if (outcome.kind !== "ran") return;
  const indices = outcome.tasks.map((task) => task.index).join();
  const wanted = Array.from({ length: request.count }, (_, n) => n).join();
  if (indices !== wanted) {
    violate(checks, `${request.id} of ${wanted} was answered with ${indices}`);
  }
  for (const task of outcome.tasks) {
    const taskId = `${request.id}/${task.index}`;
    count(checks, `task ${task.kind}`);
    if (task.kind === "didNotRun") deny(checks, taskId, task.cause);
    if (task.kind === "finished") {
      checkFinished(checks, taskId, task.worker, task.output);
    }
    if (task.kind === "stopped" && !checks.runsByTask.has(taskId)) {
      violate(checks, `${taskId} was reported stopped but never started`);
    }
    if (task.kind === "failed") {
      violate(checks, `${taskId} was reported failed: ${task.cause}`);
    }
  }
}

function checkFinished(
  checks: ModelChecks,
  taskId: string,
  worker: string,
  output: unknown,
): void {
  const runs = checks.runsByTask.get(taskId) ?? [];
  const hasRun = runs.some((run) => run.worker === worker && run.finished);
  if (!hasRun) violate(checks, `${taskId} never finished at ${worker}`);
  const index = Number(taskId.slice(taskId.lastIndexOf("/") + 1));
  const wanted = JSON.stringify(outputOf(taskId, { index }));
  if (JSON.stringify(output) !== wanted) {
    violate(checks, `${taskId} returned ${JSON.stringify(output)}`);
  }
}

function deny(checks: ModelChecks, taskId: string, cause: string): void {
  requireUnstarted(checks, taskId, cause);
  checks.denied.set(taskId, cause);
}

function requireUnstarted(
  checks: ModelChecks,
  taskId: string,
  cause: string,
): void {
  const runs = checks.runsByTask.get(taskId) ?? [];
  if (runs.length === 0) return;
  violate(checks, `${taskId} ran at ${runs[0]!.worker} but: ${cause}`);
}

/** Notes that something that must hold does not. */
export function violate(checks: ModelChecks, violation: string): void {
  if (!checks.violations.includes(violation)) {
    checks.violations.push(violation);
  }
}

function count(checks: ModelChecks, what: string): void {
  checks.counts.set(what, (checks.counts.get(what) ?? 0) + 1);
}
