/**
 * Starts tasks on workers, and makes them give way.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault, Yielding } from "../hosts/mod.ts";
import { noteFirstAttempt } from "../limits/mod.ts";
import type { Task, TaskId, TaskRecord } from "../model/mod.ts";
import type { StartRefusal } from "../placement/mod.ts";
import type { Flow } from "./flow.ts";
import type { HeldWorker } from "./held_worker.ts";
import { loseWorker } from "./held_workers.ts";
import { applyPlacement } from "./placement_driver.ts";
import { findTask } from "./requests.ts";
import { requeueUnstarted } from "./task_queue.ts";
import { applyRecord, seenAt } from "./task_record.ts";
import { waitToRetry } from "./retry.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { startTask, yieldTask } from "./waits.ts";

/** How often an unsent start is tried before another worker is chosen. */
const MAX_UNSENT_STARTS = 2;
/** How often a yield command is tried. */
const MAX_YIELD_TRIES = 20;

/**
 * Starts a task on a worker. A start whose effect is unknown is repeated
 * under the same token until the worker answers or is lost.
 */
export function* startOnWorker(
  scheduler: Scheduler,
  worker: string,
  token: number,
  task: Task,
): Flow<void> {
  let mayHaveArrived = false;
  let unsent = 0;
  let retries = 0;
  noteFirstAttempt(scheduler.retryBudget);
  while (true) {
    const held = heldUnder(scheduler, worker, token);
    if (held === undefined) return;
    const result = yield* startTask(held.address, token, task);
    if (result.isOk()) {
      confirmStart(scheduler, held, result.value);
      return;
    }
    if (heldUnder(scheduler, worker, token) === undefined) return;
    const fault = result.error;
    switch (fault.kind) {
      case "refused":
        if (!mayHaveArrived) {
          refuseStart(scheduler, held, task, fault);
          return;
        }
        if (yield* bar(scheduler, held, task)) return;
        break;
      case "unsent":
        unsent++;
        if (!mayHaveArrived && unsent >= MAX_UNSENT_STARTS) {
          refuseStart(scheduler, held, task, fault);
          return;
        }
        break;
      case "unknown":
        mayHaveArrived = true;
        break;
    }
    retries++;
    yield* waitToRetry(scheduler, retries);
  }
}

/** Makes a task on a worker give way, for as long as the worker is held. */
export function* makeYield(
  scheduler: Scheduler,
  worker: string,
  token: number,
  taskId: TaskId,
  yielding: Yielding,
): Flow<void> {
  for (let tries = 0; tries < MAX_YIELD_TRIES; tries++) {
    const held = heldUnder(scheduler, worker, token);
    if (held === undefined) return;
    const result = yield* yieldTask(held.address, token, taskId, yielding);
    if (result.isOk() || result.error.kind === "refused") return;
    yield* waitToRetry(scheduler, tries + 1);
  }
}

/**
 * Makes sure that a start which may still be on its way has no effect.
 *
 * @returns whether it is now known what became of the task
 */
function* bar(
  scheduler: Scheduler,
  held: HeldWorker,
  task: Task,
): Flow<boolean> {
  const { address, token } = held;
  const result = yield* yieldTask(address, token, task.id, "stop");
  if (result.isErr()) return false;
  if (heldUnder(scheduler, address.id, token) === undefined) return true;
  const record = result.value;
  if (record !== undefined) {
    confirmStart(scheduler, held, record);
    return true;
  }
  surelyUnstarted(scheduler, address.id, task, "invalid");
  return true;
}

function confirmStart(
  scheduler: Scheduler,
  sent: HeldWorker,
  record: TaskRecord,
): void {
  const worker = sent.address.id;
  const held = heldUnder(scheduler, worker, sent.token);
  const taskId = record.task.id;
  if (held !== undefined) {
    const seen = held.records.get(taskId);
    // A later renewal may already have told the end of the run.
    if (seen !== undefined && seen.state !== "running") return;
    held.records.set(taskId, record);
    applyPlacement(scheduler, { kind: "startConfirmed", worker, taskId });
    applyPlacement(scheduler, { kind: "taskChanged", worker, record });
  }
  applyRecord(scheduler, seenAt(sent, record));
}

function refuseStart(
  scheduler: Scheduler,
  held: HeldWorker,
  task: Task,
  fault: Fault,
): void {
  const worker = held.address.id;
  note(scheduler, "start.refused", task.id, `${worker} SS${fault.code}`);
  surelyUnstarted(scheduler, worker, task, refusalOf(fault));
  if (isFenced(fault)) loseWorker(scheduler, held, "fenced");
}

function surelyUnstarted(
  scheduler: Scheduler,
  worker: string,
  task: Task,
  refusal: StartRefusal,
): void {
  const found = findTask(scheduler, task.id);
  const progress = found?.task.progress;
  const isOurs = progress?.kind === "starting" && progress.worker === worker;
  if (found !== undefined && isOurs) found.task.progress = { kind: "queued" };
  applyPlacement(scheduler, {
    kind: "startRefused",
    worker,
    taskId: task.id,
    refusal,
  });
  if (found === undefined || found.task.progress.kind !== "queued") return;
  if (found.entry.role === "home" || found.entry.cancelled) {
    requeueUnstarted(scheduler, found.entry, found.task);
  }
}

function refusalOf(fault: Fault): StartRefusal {
  switch (fault.code) {
    case diagnostics.workerFull.code:
      return "capacity";
    case diagnostics.workerLeaving.code:
      return "leaving";
    case diagnostics.taskBarred.code:
      return "invalid";
    default:
      return "stale";
  }
}

/** Tells whether a refusal means that another incarnation has the worker. */
export function isFenced(fault: Fault): boolean {
  return fault.kind === "refused" &&
    (fault.code === diagnostics.tokenStale.code ||
      fault.code === diagnostics.holderBarred.code);
}

function heldUnder(
  scheduler: Scheduler,
  worker: string,
  token: number,
): HeldWorker | undefined {
  const held = scheduler.held.get(worker);
  return held?.token === token ? held : undefined;
}
