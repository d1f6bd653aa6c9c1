/**
 * Puts waiting tasks on workers and asks the driver to start them.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { Policy } from "../model/mod.ts";
import { chooseWorker } from "./choose_worker.ts";
import type { Lane } from "./lane.ts";
import { hasExpired } from "./limits.ts";
import { dequeueTask, waitingGroups, waitingTasks } from "./queue.ts";
import { rankLanes } from "./rank.ts";
import { addPlaced, hasRoom, isUsable, returnRoom, takeRoom } from "./room.ts";
import type { Step } from "./step.ts";
import type { PlacedTask, QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import { workerToProbe } from "./worker_health.ts";
import type { WorkerState } from "./worker_state.ts";

/** How many groups of one lane are tried when room has come free. */
const GROUPS_TRIED = 4;

/** Places as many tasks of a group as its policy and the room allow. */
export function placeGroup(step: Step, group: WaitingGroup): void {
  if (hasExpired(group, step.atMs)) return;
  const { kind }: Policy = group.policy;
  switch (kind) {
    case "batch":
    case "service":
      return placeEach(step, group);
    case "gang":
      return placeTogether(step, group);
    default:
      return assertNever(kind);
  }
}

/** Gives the room of one worker to the waiting tasks, most urgent first. */
export function fillWorker(step: Step, worker: WorkerState): void {
  if (step.placement.queued === 0 || !isUsable(worker)) return;
  for (const lane of rankLanes(step.placement, step.atMs)) {
    if (worker.freeSlots < 1) return;
    fillFromLane(step, worker, lane);
  }
}

/** Tries every waiting group once, most urgent first. */
export function placeAll(step: Step): void {
  if (step.placement.queued === 0) return;
  for (const lane of rankLanes(step.placement, step.atMs)) {
    for (const group of waitingGroups(lane)) {
      placeGroup(step, group);
      if (group.waiting > 0) break;
    }
  }
}

/** Holds a worker's room for a task and asks the driver to start it. */
export function startTask(
  step: Step,
  queued: QueuedTask,
  worker: WorkerState,
): void {
  const { placement, atMs, commands } = step;
  const { task, group, demand } = queued;
  dequeueTask(placement, queued);
  const placed: PlacedTask = {
    kind: "placed",
    task,
    worker,
    reserved: demand,
    confirmed: false,
    sinceMs: atMs,
    withdrawn: false,
    group,
  };
  placement.tasks.set(task.id, placed);
  if (worker.health.kind === "probed") worker.health.taskId = task.id;
  addPlaced(placement, placed);
  commands.push({
    kind: "start",
    worker: worker.id,
    token: worker.token,
    task,
  });
}

function placeEach(step: Step, group: WaitingGroup): void {
  const { placement } = step;
  for (const queued of waitingTasks(placement, group)) {
    const worker = workerToProbe(placement, queued.task) ??
      chooseWorker(placement, queued.task, queued.demand);
    if (worker === undefined) return;
    startTask(step, queued, worker);
  }
}

/** Places all tasks of a group, or none. */
function placeTogether(step: Step, group: WaitingGroup): void {
  const { placement } = step;
  const tasks = [...waitingTasks(placement, group)];
  const workers: WorkerState[] = [];
  for (const { task, demand } of tasks) {
    const worker = chooseWorker(placement, task, demand);
    if (worker === undefined) break;
    takeRoom(placement, worker, demand);
    workers.push(worker);
  }
  workers.forEach((worker, i) =>
    returnRoom(placement, worker, tasks[i]!.demand)
  );
  if (workers.length < tasks.length) return;
  tasks.forEach((queued, i) => startTask(step, queued, workers[i]!));
}

function fillFromLane(step: Step, worker: WorkerState, lane: Lane): void {
  let tried = 0;
  for (const group of waitingGroups(lane)) {
    if (tried >= GROUPS_TRIED) return;
    tried += 1;
    if (hasExpired(group, step.atMs)) continue;
    if (group.policy.kind === "batch") fillFromGroup(step, worker, group);
    else placeGroup(step, group);
    if (worker.freeSlots < 1) return;
  }
}

function fillFromGroup(
  step: Step,
  worker: WorkerState,
  group: WaitingGroup,
): void {
  for (const queued of waitingTasks(step.placement, group)) {
    if (!hasRoom(worker, queued.demand)) return;
    startTask(step, queued, worker);
  }
}
