import type { Task } from "../model/mod.ts";
import { demandOf, learnedOf } from "./learning.ts";
import { addPlaced } from "./room.ts";
import type { Step } from "./step.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Holds a worker's room for a task and asks the driver to start it there.
 *
 * @param group where the task goes back to when the start is refused;
 * undefined for a task that goes on from a checkpoint
 */
export function sendStart(
  step: Step,
  task: Task,
  worker: WorkerState,
  group: WaitingGroup | undefined,
): void {
  const { placement, atMs, commands } = step;
  const learned = learnedOf(placement, task);
  const placed: PlacedTask = {
    kind: "placed",
    task,
    worker,
    learned,
    token: worker.token,
    reserved: demandOf(placement, { task, learned }),
    confirmed: false,
    sinceMs: atMs,
    withdrawn: false,
    yielding: undefined,
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
