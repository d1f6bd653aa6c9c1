/**
 * Work that is refused: it can never run, its deadline has passed, or the
 * queue is full of more urgent work. Nothing that may have run is refused.
 *
 * @module
 */
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type { DiagnosticMessage } from "../diagnostics/mod.ts";
import type { Resources } from "../model/mod.ts";
import type { Lane } from "./lane.ts";
import type { Placement } from "./placement.ts";
import { dequeueTask, waitingTasks } from "./queue.ts";
import { type Shape, tasksHeldBy } from "./shape.ts";
import type { Step } from "./step.ts";
import type { QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";

/** Refuses a group that no worker here or at a peer could ever hold. */
export function refuseUnrunnable(step: Step, group: WaitingGroup): void {
  const { placement } = step;
  const { peers, workers } = placement;
  if (peers === undefined || workers.size === 0) return;
  placement.unchecked.delete(group);
  const shapes = [...placement.shapes.values(), ...peers];
  if (group.policy.kind === "gang") return refuseGang(step, group, shapes);
  for (const queued of waitingTasks(group)) {
    const { demand } = queued.task;
    if (shapes.some((shape) => tasksHeldBy(shape, demand) > 0)) continue;
    refuse(step, queued, diagnostics.neverFits, ...needed(demand, shapes));
  }
}

/** Checks the groups that came before the workers were known. */
export function refuseLate(step: Step): void {
  const { peers, workers, unchecked } = step.placement;
  if (peers === undefined || workers.size === 0) return;
  for (const group of unchecked) refuseUnrunnable(step, group);
}

/** Refuses the groups whose start deadline has passed. */
export function refuseExpired(step: Step): void {
  const { placement, atMs } = step;
  for (const group of placement.deadlines) {
    if (group.waiting === 0) placement.deadlines.delete(group);
    if (!hasExpired(group, atMs)) continue;
    placement.deadlines.delete(group);
    for (const queued of waitingTasks(group)) {
      if (mayBeRefused(queued)) {
        refuse(step, queued, diagnostics.deadlinePassed);
      }
    }
  }
}

/** Whether a group must not start any more. */
export function hasExpired(group: WaitingGroup, atMs: number): boolean {
  return group.startByMs !== undefined && group.startByMs <= atMs;
}

/** Brings the queue within its bound: newest least urgent work goes first. */
export function refuseOverload(step: Step): void {
  const { placement } = step;
  const { maxQueuedTasks } = placement.options;
  while (placement.queued > maxQueuedTasks) {
    const group = newestLeastUrgent(placement);
    if (group === undefined) return;
    refuseNewest(step, group, placement.queued - maxQueuedTasks);
  }
}

/** Refuses a task that a worker rejects as invalid. */
export function refuseInvalid(
  step: Step,
  taskId: string,
  worker: string,
): void {
  const { code } = diagnostics.startInvalid;
  const cause = formatDiagnostic(diagnostics.startInvalid, worker);
  step.commands.push({ kind: "refuse", taskId, code, cause });
}

function refuseGang(step: Step, group: WaitingGroup, shapes: Shape[]): void {
  const queued = [...waitingTasks(group)];
  if (queued.length === 0) return;
  const demand = smallestDemand(queued);
  const held = shapes.reduce((sum, s) => sum + tasksHeldBy(s, demand), 0);
  if (held >= queued.length) return;
  const need = `${queued.length} times ${describe(demand)}`;
  const offer = `room for ${held}`;
  for (const task of queued) {
    refuse(step, task, diagnostics.gangTooLarge, need, offer);
  }
}

/** What every task of a gang needs at least. */
function smallestDemand(tasks: QueuedTask[]): Resources {
  const demands = tasks.map(({ task }) => task.demand);
  return {
    cpuMillis: Math.min(...demands.map(({ cpuMillis }) => cpuMillis)),
    memoryMb: Math.min(...demands.map(({ memoryMb }) => memoryMb)),
    accelerators: Math.min(...demands.map(({ accelerators }) => accelerators)),
  };
}

function refuseNewest(step: Step, group: WaitingGroup, excess: number): void {
  const tasks = [...waitingTasks(group)].filter(mayBeRefused);
  const count = group.policy.kind === "gang" ? tasks.length : excess;
  for (const queued of tasks.slice(-count).reverse()) {
    refuse(step, queued, diagnostics.refusedOverload);
  }
}

function newestLeastUrgent(placement: Placement): WaitingGroup | undefined {
  const lanes = [...placement.activeLanes]
    .sort((a, b) => a.urgency - b.urgency);
  let newest: WaitingGroup | undefined;
  for (const lane of lanes) {
    if (newest !== undefined && lane.urgency > newest.urgency) break;
    const group = newestOf(lane);
    if (group === undefined) continue;
    if (newest === undefined || group.queuedAtMs >= newest.queuedAtMs) {
      newest = group;
    }
  }
  return newest;
}

function newestOf(lane: Lane): WaitingGroup | undefined {
  for (let i = lane.groups.length - 1; i >= lane.next; i--) {
    const group = lane.groups[i]!;
    if (!group.listed) continue;
    if ([...waitingTasks(group)].some(mayBeRefused)) return group;
  }
  return undefined;
}

/** Whether a task has surely not run yet. */
function mayBeRefused({ task }: QueuedTask): boolean {
  return task.attempt === 1;
}

function refuse(
  step: Step,
  queued: QueuedTask,
  diagnostic: DiagnosticMessage,
  ...values: string[]
): void {
  dequeueTask(step.placement, queued);
  const cause = formatDiagnostic(diagnostic, ...values);
  const { code } = diagnostic;
  step.commands.push({ kind: "refuse", taskId: queued.task.id, code, cause });
}

function needed(demand: Resources, shapes: Shape[]): [string, string] {
  const largest = shapes.reduce((a, b) =>
    b.resources.cpuMillis > a.resources.cpuMillis ? b : a
  );
  return [describe(demand), describe(largest.resources)];
}

function describe(amount: Resources): string {
  const { cpuMillis, memoryMb, accelerators } = amount;
  return `${cpuMillis / 1000} cores, ${memoryMb} MiB, ` +
    `${accelerators} accelerators`;
}
