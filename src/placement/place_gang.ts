/**
 * Gangs: room for all waiting tasks in one step, or for none.
 *
 * @module
 */
import type { Resources } from "../model/mod.ts";
import { chooseWorker } from "./choose_worker.ts";
import { endHold } from "./holds.ts";
import { demandOf } from "./learning.ts";
import { dequeueTask, waitingTasks } from "./queue.ts";
import { hasRoom, returnRoom, takeRoom } from "./room.ts";
import { sendStart } from "./send_start.ts";
import type { Step } from "./step.ts";
import type { QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** Starts all waiting tasks of a gang, if all of them have room now. */
export function placeGang(step: Step, group: WaitingGroup): void {
  const { placement } = step;
  const tasks = [...waitingTasks(group)];
  const taken: { worker: WorkerState; demand: Resources }[] = [];
  for (const queued of tasks) {
    const demand = demandOf(placement, queued);
    const worker = workerFor(step, queued, demand);
    if (worker === undefined) break;
    takeRoom(placement, worker, demand);
    taken.push({ worker, demand });
  }
  for (const { worker, demand } of taken) returnRoom(placement, worker, demand);
  if (taken.length < tasks.length) return;
  if (group.hold !== undefined) endHold(placement, group.hold);
  tasks.forEach((queued, i) => {
    dequeueTask(placement, queued);
    sendStart(step, queued.task, taken[i]!.worker, group);
  });
}

/** A worker that the gang holds, or any other with room. */
function workerFor(
  step: Step,
  queued: QueuedTask,
  demand: Resources,
): WorkerState | undefined {
  for (const worker of queued.group.hold?.workers.keys() ?? []) {
    if (hasRoom(worker, demand)) return worker;
  }
  return chooseWorker(step.placement, queued.task, demand);
}
