/**
 * Tasks that wait at a checkpoint. Each goes on where it stopped, so that it
 * never runs in two places.
 *
 * @module
 */
import type { Task } from "../model/mod.ts";
import { demandOf, learnedOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { agedUrgency } from "./rank.ts";
import { hasRoom } from "./room.ts";
import type { Step } from "./step.ts";
import { sendStart } from "./send_start.ts";
import type { CheckpointedTask } from "./task_entry.ts";
import type { WorkerState } from "./worker_state.ts";

/** How long a task waits at a checkpoint at least, in milliseconds. */
const RESUME_AFTER_MS = 2_000;

/** Notes that a task waits at a checkpoint on a worker. */
export function addCheckpointed(
  placement: Placement,
  worker: WorkerState,
  task: Task,
  atMs: number,
): void {
  const entry: CheckpointedTask = {
    kind: "checkpointed",
    task,
    worker,
    sinceMs: atMs,
    withdrawn: false,
    learned: learnedOf(placement, task),
  };
  worker.checkpointed.set(task.id, entry);
  placement.tasks.set(task.id, entry);
}

/** Forgets a task that waited at a checkpoint. */
export function removeCheckpointed(
  placement: Placement,
  entry: CheckpointedTask,
): void {
  const { task, worker } = entry;
  worker.checkpointed.delete(task.id);
  if (placement.tasks.get(task.id) === entry) placement.tasks.delete(task.id);
}

/** Lets tasks of at least an urgency go on, as far as there is room. */
export function resumeTasks(
  step: Step,
  worker: WorkerState,
  leastUrgency: number,
): void {
  for (const entry of worker.checkpointed.values()) {
    const { task, withdrawn, sinceMs } = entry;
    const waitedMs = step.atMs - sinceMs;
    if (withdrawn || waitedMs < RESUME_AFTER_MS) continue;
    if (agedUrgency(task.urgency, waitedMs) < leastUrgency) continue;
    if (!hasRoom(worker, demandOf(step.placement, entry))) continue;
    removeCheckpointed(step.placement, entry);
    sendStart(step, task, worker, undefined);
  }
}
