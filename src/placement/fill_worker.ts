/**
 * Gives the room of one worker to the work that waits for it.
 *
 * @module
 */
import { fitsInto, PREEMPTING_URGENCY } from "../model/mod.ts";
import { resumeTasks } from "./checkpointed.ts";
import { mayUse } from "./choose_worker.ts";
import type { Lane } from "./lane.ts";
import { demandOf } from "./learning.ts";
import { hasExpired } from "./limits.ts";
import { mayBackfill, placeGroup, startTask } from "./place.ts";
import { waitingGroups, waitingTasks } from "./queue.ts";
import { rankLanes } from "./rank.ts";
import { hasRoom, isUsable } from "./room.ts";
import type { Step } from "./step.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** How many groups of one lane are tried when room has come free. */
const GROUPS_TRIED = 4;

/**
 * Fills a worker: with the group that holds it first, then with waiting and
 * checkpointed tasks by urgency.
 */
export function fillWorker(step: Step, worker: WorkerState): void {
  if (!isUsable(worker) || worker.freeSlots < 1) return;
  const { hold } = worker;
  if (hold !== undefined && hold.group.urgency < PREEMPTING_URGENCY) {
    fillForHold(step, worker, hold.group);
  }
  if (step.placement.queued > 0) fillFromLanes(step, worker);
  if (worker.checkpointed.size > 0 && worker.hold === undefined) {
    resumeTasks(step, worker, 0);
  }
}

function fillForHold(
  step: Step,
  worker: WorkerState,
  group: WaitingGroup,
): void {
  if (group.policy.kind === "gang") return placeGroup(step, group);
  for (const queued of waitingTasks(group)) {
    if (worker.hold?.group !== group) return;
    if (!hasRoom(worker, demandOf(step.placement, queued))) return;
    startTask(step, queued, worker);
  }
}

function fillFromLanes(step: Step, worker: WorkerState): void {
  const mayUse = (lane: Lane) => fitsInto(lane.smallest, worker.free);
  for (const lane of rankLanes(step.placement, step.atMs, mayUse)) {
    if (worker.freeSlots < 1) return;
    if (worker.checkpointed.size > 0 && worker.hold === undefined) {
      resumeTasks(step, worker, lane.urgency);
    }
    fillFromLane(step, worker, lane);
  }
}

function fillFromLane(step: Step, worker: WorkerState, lane: Lane): void {
  let tried = 0;
  for (const group of waitingGroups(lane)) {
    if (tried >= GROUPS_TRIED || worker.freeSlots < 1) return;
    tried += 1;
    if (hasExpired(group, step.atMs)) continue;
    if (group.policy.kind === "batch") fillFromGroup(step, worker, group);
    else if (mayTryGang(worker, group)) placeGroup(step, group);
  }
}

/** Whether a worker's room may be what a gang lacks. */
function mayTryGang(worker: WorkerState, group: WaitingGroup): boolean {
  return group.hold === undefined || worker.hold === group.hold;
}

function fillFromGroup(
  step: Step,
  worker: WorkerState,
  group: WaitingGroup,
): void {
  for (const queued of waitingTasks(group)) {
    if (!hasRoom(worker, demandOf(step.placement, queued))) return;
    if (!mayBackfill(step, queued, worker)) return;
    if (!mayUse(step.placement, worker, queued.task)) return;
    startTask(step, queued, worker);
  }
}
