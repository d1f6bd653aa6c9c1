/**
 * Admission of new work: the queue is bounded, and a customer that floods it
 * gives way to those that stay within their part.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { type Admission, admit, type ShedWork } from "../limits/mod.ts";
import { queuedTasks } from "../placement/mod.ts";
import { applyPlacement } from "./placement_driver.ts";
import type { FoundTask } from "./requests.ts";
import { findTask } from "./requests.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { endUnstarted } from "./task_end.ts";

/**
 * Makes room for tasks of a customer, by refusing waiting work of customers
 * that hold more than their part of a full queue.
 *
 * @param count how many tasks are to wait
 * @returns false where there is no room; nothing was changed then
 */
export function makeRoom(
  scheduler: Scheduler,
  customer: string,
  count: number,
): boolean {
  const { maxQueuedTasks } = scheduler.options;
  const { queued } = scheduler.placement;
  if (queued + count <= maxQueuedTasks) return true;
  const admission = countWaiting(scheduler);
  const decision = admit(admission, customer, count);
  if (decision.kind === "refused") return false;
  for (const shed of decision.shed) shedWork(scheduler, shed);
  return true;
}

function countWaiting(scheduler: Scheduler): Admission {
  const { maxQueuedTasks } = scheduler.options;
  const waiting = new Map<string, number>();
  let total = 0;
  for (const task of queuedTasks(scheduler.placement)) {
    waiting.set(task.customer, (waiting.get(task.customer) ?? 0) + 1);
    total++;
  }
  const options = {
    capacity: maxQueuedTasks,
    customerCapacity: maxQueuedTasks,
  };
  return { options, total, waiting };
}

/** Refuses the newest of the least urgent waiting work of a customer. */
function shedWork(scheduler: Scheduler, shed: ShedWork): void {
  const found = queuedTasks(scheduler.placement)
    .filter((task) => task.customer === shed.customer && task.attempt === 1)
    .flatMap((task) => findTask(scheduler, task.id) ?? [])
    .filter(({ entry, task }) =>
      entry.role === "home" && task.startedOn === undefined
    )
    .sort(compareWorth)
    .slice(0, shed.units);
  const taskIds = found.map(({ task }) => task.task.id);
  applyPlacement(scheduler, { kind: "withdrawn", taskIds });
  const { code, template } = diagnostics.refusedOverload;
  for (const { entry, task } of found) {
    endUnstarted(scheduler, entry, task, code, template);
  }
  note(scheduler, "request.shed", shed.customer, String(found.length));
}

/** Orders the least urgent first, and the newest first among equals. */
function compareWorth(left: FoundTask, right: FoundTask): number {
  const byUrgency = left.task.task.urgency - right.task.task.urgency;
  if (byUrgency !== 0) return byUrgency;
  return right.entry.request.acceptedAtMs - left.entry.request.acceptedAtMs;
}
