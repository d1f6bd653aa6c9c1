/**
 * Puts the waiting tasks of a group on workers.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import { type Policy, PREEMPTING_URGENCY, type Task } from "../model/mod.ts";
import { chooseWorker } from "./choose_worker.ts";
import type { Hold } from "./hold.ts";
import { useHold } from "./holds.ts";
import { demandOf, expectedMs } from "./learning.ts";
import { hasExpired } from "./limits.ts";
import { placeGang } from "./place_gang.ts";
import { dequeueTask, waitingGroups, waitingTasks } from "./queue.ts";
import { rankLanes } from "./rank.ts";
import { hasRoom } from "./room.ts";
import { sendStart } from "./send_start.ts";
import type { Step } from "./step.ts";
import type { QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import { workerToProbe } from "./worker_health.ts";
import type { WorkerState } from "./worker_state.ts";

/** Places as many tasks of a group as its policy and the room allow. */
export function placeGroup(step: Step, group: WaitingGroup): void {
  if (hasExpired(group, step.atMs)) return;
  const { kind }: Policy = group.policy;
  switch (kind) {
    case "batch":
    case "service":
      return placeEach(step, group);
    case "gang":
      return placeGang(step, group);
    default:
      return assertNever(kind);
  }
}

/** Tries the first waiting groups of every lane, most urgent first. */
export function placeAll(step: Step): void {
  if (step.placement.queued === 0) return;
  for (const lane of rankLanes(step.placement, step.atMs)) {
    for (const group of waitingGroups(lane)) {
      placeGroup(step, group);
      if (group.waiting > 0) break;
    }
  }
}

/** Starts a waiting task on a worker that has the room. */
export function startTask(
  step: Step,
  queued: QueuedTask,
  worker: WorkerState,
): void {
  const { task, group } = queued;
  dequeueTask(step.placement, queued);
  sendStart(step, task, worker, group);
  const { hold } = worker;
  if (hold === undefined) return;
  if (hold.group === group || isSharedHold(hold, task)) {
    useHold(step.placement, worker);
  }
}

/** Whether a task may use a worker that is held for another group. */
export function mayBackfill(
  step: Step,
  queued: QueuedTask,
  worker: WorkerState,
): boolean {
  const { hold } = worker;
  if (hold === undefined || hold.group === queued.group) return true;
  const { task } = queued;
  const overrides = task.urgency >= PREEMPTING_URGENCY &&
    (task.urgency > hold.group.urgency || isSharedHold(hold, task));
  if (overrides) return true;
  const endMs = step.atMs + expectedMs(queued);
  return endMs <= hold.startsAtMs;
}

/** Whether a hold for urgent tasks serves a task of another group, too. */
function isSharedHold({ group }: Hold, task: Task): boolean {
  return group.policy.kind !== "gang" &&
    group.urgency >= PREEMPTING_URGENCY && task.urgency >= group.urgency;
}

function placeEach(step: Step, group: WaitingGroup): void {
  const { placement } = step;
  for (const queued of waitingTasks(group)) {
    const worker = workerToProbe(placement, queued.task) ??
      chooseWorker(placement, queued.task, demandOf(placement, queued)) ??
      heldWorker(step, queued);
    if (worker === undefined) return;
    startTask(step, queued, worker);
  }
}

/** A held worker that a task may use. */
function heldWorker(step: Step, queued: QueuedTask): WorkerState | undefined {
  const { placement } = step;
  if (placement.holds.size === 0) return undefined;
  const demand = demandOf(placement, queued);
  for (const hold of placement.holds) {
    for (const worker of hold.workers.keys()) {
      if (!hasRoom(worker, demand)) continue;
      if (mayBackfill(step, queued, worker)) return worker;
    }
  }
  return undefined;
}
