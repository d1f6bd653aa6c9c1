import { assertNever } from "../base/mod.ts";
import type { TaskRecord } from "../model/mod.ts";
import type { Placement } from "./placement.ts";
import type { PlacementCommand } from "./placement_command.ts";
import type { PlacementEvent, StartRefusal } from "./placement_event.ts";
import { learn } from "./learning.ts";
import {
  refuseExpired,
  refuseInvalid,
  refuseLate,
  refuseOverload,
  refuseUnrunnable,
} from "./limits.ts";
import { offloadGroup, offloadWaiting } from "./offload.ts";
import {
  expireHolds,
  holdAtOnce,
  takeHolds,
  takeUrgentHolds,
  unhold,
} from "./holds.ts";
import { forgetAgreements } from "./forget_agreements.ts";
import { fillWorker } from "./fill_worker.ts";
import { placeAll, placeGroup } from "./place.ts";
import { pressOn } from "./preempt.ts";
import { addCheckpointed, removeCheckpointed } from "./checkpointed.ts";
import { dequeueTask, enqueueTasks, requeueTask } from "./queue.ts";
import { isUsable, refreshLeaf, removePlaced } from "./room.ts";
import type { Step } from "./step.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import { forgetWorker, joinWorker, takeOver } from "./workers.ts";
import { endSuspensions, noteEnding } from "./worker_health.ts";
import type { WorkerState } from "./worker_state.ts";
import { endPauses, pauseWorker } from "./worker_pause.ts";

/**
 * Works one event into a placement core and returns what the driver has to
 * do. The same events at the same times, with the same randomness, give the
 * same commands.
 *
 * @example
 * ```ts
 * const commands = stepPlacement(placement, { kind: "ticked" }, clock.nowMs());
 * for (const command of commands) run(command);
 * ```
 *
 * @param placement the core, changed in place
 * @param event what happened
 * @param atMs the wall clock, in milliseconds since the epoch
 */
export function stepPlacement(
  placement: Placement,
  event: PlacementEvent,
  atMs: number,
): PlacementCommand[] {
  const step: Step = { placement, atMs, commands: [] };
  applyEvent(step, event);
  return step.commands;
}

function applyEvent(step: Step, event: PlacementEvent): void {
  const { placement, atMs } = step;
  switch (event.kind) {
    case "workerJoined":
      return fillWorker(step, joinWorker(placement, event, atMs));
    case "workerLost":
      return withWorker(
        step,
        event.worker,
        (worker) => forgetWorker(placement, worker),
      );
    case "workerLeaving":
      return withWorker(step, event.worker, (worker) => {
        if (!worker.leaving) replaceServices(step, worker);
        worker.leaving = true;
        unhold(placement, worker);
        refreshLeaf(placement, worker);
      });
    case "workerReachable":
      return withWorker(step, event.worker, (worker) => {
        worker.reachable = event.reachable;
        if (!event.reachable) unhold(placement, worker);
        refreshLeaf(placement, worker);
        if (event.reachable) fillWorker(step, worker);
      });
    case "submitted": {
      const group = enqueueTasks(placement, event.request, event.tasks, atMs);
      if (group !== undefined) admitGroup(step, group);
      return;
    }
    case "startConfirmed":
      return withPlaced(step, event.worker, event.taskId, (placed) => {
        placed.confirmed = true;
      });
    case "startRefused":
      return withPlaced(
        step,
        event.worker,
        event.taskId,
        (placed) => returnRefused(step, placed, event.refusal),
      );
    case "taskChanged":
      return withWorker(
        step,
        event.worker,
        (worker) => changeTask(step, worker, event.record),
      );
    case "withdrawn":
      return withdraw(step, event.taskIds);
    case "peersKnown":
      placement.peers = event.shapes;
      return refuseLate(step);
    case "manifestChanged":
      return forgetAgreements(placement, event.manifest);
    case "sharesCut":
      placement.shares = event.shares;
      return;
    case "ticked":
      return tick(step);
    default:
      return assertNever(event);
  }
}

/** Asks for successors of the services on a worker that is leaving. */
function replaceServices(step: Step, worker: WorkerState): void {
  for (const { task, withdrawn } of worker.placed.values()) {
    if (task.policy.kind !== "service" || !task.idempotent) continue;
    if (withdrawn) continue;
    step.commands.push({ kind: "replace", worker: worker.id, task });
  }
}

function admitGroup(step: Step, group: WaitingGroup): void {
  refuseUnrunnable(step, group);
  placeGroup(step, group);
  holdAtOnce(step, group);
  refuseOverload(step);
  offloadGroup(step, group);
}

function tick(step: Step): void {
  const { placement, atMs } = step;
  endSuspensions(placement, atMs);
  endPauses(placement, atMs);
  refuseLate(step);
  refuseExpired(step);
  expireHolds(step);
  pressOn(step);
  placeAll(step);
  takeHolds(step);
  fillHeld(step);
  resumeAll(step);
  offloadWaiting(step);
}

/** Gives held workers to work that is short enough to be over in time. */
function fillHeld(step: Step): void {
  for (const hold of [...step.placement.holds]) {
    for (const worker of [...hold.workers.keys()]) fillWorker(step, worker);
  }
}

/** Lets checkpointed tasks go on where there is room. */
function resumeAll(step: Step): void {
  for (const worker of step.placement.workers.values()) {
    if (worker.checkpointed.size > 0) fillWorker(step, worker);
  }
}

function withWorker(
  step: Step,
  id: string,
  use: (worker: WorkerState) => void,
): void {
  const worker = step.placement.workers.get(id);
  if (worker !== undefined) use(worker);
}

function withPlaced(
  step: Step,
  workerId: string,
  taskId: string,
  use: (placed: PlacedTask) => void,
): void {
  const placed = step.placement.workers.get(workerId)?.placed.get(taskId);
  if (placed !== undefined) use(placed);
}

function returnRefused(
  step: Step,
  placed: PlacedTask,
  refusal: StartRefusal,
): void {
  const { placement, atMs } = step;
  const { worker, task, group } = placed;
  if (placed.confirmed) return;
  removePlaced(placement, placed);
  if (refusal === "stale" && placed.token === worker.token) {
    worker.stale = true;
  }
  if (refusal === "leaving") worker.leaving = true;
  if (refusal === "capacity") pauseWorker(placement, worker, atMs);
  if (!isUsable(worker)) unhold(placement, worker);
  refreshLeaf(placement, worker);
  if (placed.withdrawn) return;
  if (group === undefined) {
    addCheckpointed(placement, worker, task, atMs);
    return;
  }
  if (refusal === "invalid") return refuseInvalid(step, task.id, worker.id);
  requeueTask(placement, group, task);
  refuseOverload(step);
}

function changeTask(step: Step, worker: WorkerState, record: TaskRecord): void {
  const { placement, atMs } = step;
  const placed = worker.placed.get(record.task.id);
  if (record.state === "running") {
    if (placed === undefined) takeOver(placement, worker, record, atMs);
    else placed.confirmed = true;
    return;
  }
  const entry = worker.checkpointed.get(record.task.id);
  if (entry !== undefined && record.state !== "checkpointed") {
    removeCheckpointed(placement, entry);
  }
  if (placed === undefined) return;
  if (record.task.attempt < placed.task.attempt) return;
  removePlaced(placement, placed);
  if (record.state === "checkpointed" && !placed.withdrawn) {
    addCheckpointed(placement, worker, record.task, atMs);
  }
  if (record.state === "finished" || record.state === "failed") {
    learn(placement, record);
    noteEnding(placement, placed, record.state === "failed", atMs);
  }
  fillWorker(step, worker);
  takeUrgentHolds(step);
}

function withdraw(step: Step, taskIds: string[]): void {
  const { placement, commands } = step;
  for (const taskId of taskIds) {
    const entry = placement.tasks.get(taskId);
    if (entry === undefined) continue;
    if (entry.kind === "queued") {
      dequeueTask(placement, entry);
      continue;
    }
    entry.withdrawn = true;
    const { id, token } = entry.worker;
    commands.push({
      kind: "yield",
      worker: id,
      token,
      taskId,
      yielding: "stop",
    });
  }
}
