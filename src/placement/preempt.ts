/**
 * Preemption: batch work gives way to urgent work, by checkpoint first, then
 * throttled, then stopped. Work that must not run twice is never stopped.
 *
 * @module
 */
import type { Yielding } from "../hosts/mod.ts";
import {
  addResources,
  fitsInto,
  PREEMPTING_URGENCY,
  type Resources,
} from "../model/mod.ts";
import type { Hold } from "./hold.ts";
import { demandOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { waitingTasks } from "./queue.ts";
import { shareUsed } from "./rank.ts";
import type { Step } from "./step.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** How long each way of giving way is given, in milliseconds. */
const YIELD_STEP_MS = 250;

/** Whether a task may be made to give way to a group. */
export function mayPreempt(
  placement: Placement,
  placed: PlacedTask,
  group: WaitingGroup,
): boolean {
  const { task, confirmed, withdrawn } = placed;
  const isBatch = task.policy.kind === "batch" && confirmed && !withdrawn &&
    task.urgency < PREEMPTING_URGENCY;
  if (!isBatch) return false;
  return group.urgency >= PREEMPTING_URGENCY ||
    isLent(placement, task.agreement, group.agreement);
}

/** Whether one agreement uses what another is entitled to and waits for. */
function isLent(
  placement: Placement,
  borrower: string,
  entitled: string,
): boolean {
  return placement.shares.has(entitled) &&
    shareUsed(placement, borrower) > 1 && shareUsed(placement, entitled) < 1;
}

/** Makes room on the workers of a hold. */
export function preemptFor(step: Step, hold: Hold): void {
  const [first] = waitingTasks(hold.group);
  if (first === undefined) return;
  const demand = demandOf(step.placement, first);
  for (const [worker, count] of hold.workers) {
    preemptOn(step, worker, demand, count, hold.group);
  }
}

/** Takes the next step with tasks that have not given way in time. */
export function pressOn(step: Step): void {
  const { placement, atMs } = step;
  for (const placed of placement.yielding) {
    const { yielding } = placed;
    if (yielding === undefined || atMs - yielding.atMs < YIELD_STEP_MS) {
      continue;
    }
    const next = yielding.how === yielding.last
      ? undefined
      : nextYielding(placed, yielding.how);
    if (next === undefined) placement.yielding.delete(placed);
    else yieldTask(step, placed, next, yielding.last);
  }
}

function preemptOn(
  step: Step,
  worker: WorkerState,
  demand: Resources,
  count: number,
  group: WaitingGroup,
): void {
  const last = lastResort(group);
  let { free, freeSlots } = worker;
  const need = times(demand, count);
  for (const placed of victims(step.placement, worker, group)) {
    if (freeSlots >= count && fitsInto(need, free)) return;
    free = addResources(free, placed.reserved);
    freeSlots += 1;
    if (placed.yielding !== undefined) placed.yielding.last = last;
    else yieldTask(step, placed, "checkpoint", last);
  }
}

/** How far a group may go: what is lent is only taken back by checkpoint. */
function lastResort(group: WaitingGroup): Yielding {
  return group.urgency >= PREEMPTING_URGENCY ? "stop" : "checkpoint";
}

/**
 * Tasks to preempt: the least urgent first, then those of the agreement that
 * is furthest above its share, then the latest.
 */
function victims(
  placement: Placement,
  worker: WorkerState,
  group: WaitingGroup,
): PlacedTask[] {
  const used = ({ task }: PlacedTask) => shareUsed(placement, task.agreement);
  return [...worker.placed.values()]
    .filter((placed) => mayPreempt(placement, placed, group))
    .sort((a, b) =>
      a.task.urgency - b.task.urgency || used(b) - used(a) ||
      b.sinceMs - a.sinceMs
    );
}

function yieldTask(
  step: Step,
  placed: PlacedTask,
  how: Yielding,
  last: Yielding,
): void {
  const { placement, atMs, commands } = step;
  const { worker, task } = placed;
  placed.yielding = { how, atMs, last };
  placement.yielding.add(placed);
  commands.push({
    kind: "yield",
    worker: worker.id,
    token: worker.token,
    taskId: task.id,
    yielding: how,
  });
}

function nextYielding(
  placed: PlacedTask,
  how: Yielding,
): Yielding | undefined {
  if (how === "checkpoint") return "throttle";
  if (how === "throttle" && placed.task.idempotent) return "stop";
  return undefined;
}

function times(amount: Resources, count: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * count,
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count,
  };
}
