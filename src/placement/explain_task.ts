import { assertNever } from "../base/mod.ts";
import { demandOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { fitsInto, type Resources } from "../model/mod.ts";
import { agedUrgency } from "./rank.ts";
import { hasSpace } from "./room.ts";
import { tasksHeldBy } from "./shape.ts";
import type { PlacedTask, QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Explains why a task waits, or where it runs, in short lines for operators.
 *
 * @example
 * ```ts
 * explainTask(placement, "press.a.1.7.sig/0", clock.nowMs());
 * // ["runs on worker-3 since 1200 ms"]
 * ```
 *
 * @returns no lines for a task that the core does not know
 */
export function explainTask(
  placement: Placement,
  taskId: string,
  atMs: number,
): string[] {
  const entry = placement.tasks.get(taskId);
  if (entry === undefined) return [];
  switch (entry.kind) {
    case "queued":
      return explainQueued(placement, entry, atMs);
    case "checkpointed":
      return [
        `waits at a checkpoint on ${entry.worker.id} ` +
        `since ${atMs - entry.sinceMs} ms`,
      ];
    case "placed":
      return explainPlaced(entry, atMs);
    default:
      return assertNever(entry);
  }
}

function explainPlaced(placed: PlacedTask, atMs: number): string[] {
  const { worker, confirmed, sinceMs } = placed;
  const verb = confirmed ? "runs" : "was sent to start";
  return [`${verb} on ${worker.id} since ${atMs - sinceMs} ms`];
}

function explainQueued(
  placement: Placement,
  queued: QueuedTask,
  atMs: number,
): string[] {
  const { group } = queued;
  const waitedMs = atMs - group.queuedAtMs;
  const urgency = agedUrgency(group.urgency, waitedMs);
  const { cpuMillis, memoryMb, accelerators } = demandOf(placement, queued);
  return [
    `waits since ${waitedMs} ms with urgency ${urgency}`,
    `needs ${cpuMillis} cpuMillis, ${memoryMb} MiB, ` +
    `${accelerators} accelerators`,
    ...explainGang(placement, queued),
    ...explainHold(group),
    ...explainWorkers(placement, demandOf(placement, queued)),
  ];
}

/** Compares a gang with all that the workers here could hold. */
function explainGang(placement: Placement, queued: QueuedTask): string[] {
  const { policy, waiting } = queued.group;
  if (policy.kind !== "gang") return [];
  const { demand } = queued.task;
  let held = 0;
  for (const shape of placement.shapes.values()) {
    held += tasksHeldBy(shape, demand);
  }
  return [`starts with ${waiting} at once; empty workers here hold ${held}`];
}

function explainHold({ hold }: WaitingGroup): string[] {
  if (hold === undefined) return [];
  const workers = [...hold.workers.keys()].map(({ id }) => id);
  return [`has a hold on ${workers.join(", ")}`];
}

/** Counts the workers by what keeps the task off them. */
function explainWorkers(placement: Placement, demand: Resources): string[] {
  const counts = new Map<string, number>();
  for (const worker of placement.workers.values()) {
    const reason = obstacle(worker, demand);
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  if (counts.size === 0) return ["no workers here yet"];
  return [...counts].map(([reason, count]) => `${count} workers ${reason}`);
}

function obstacle(worker: WorkerState, demand: Resources): string {
  if (!fitsInto(demand, worker.capacity.resources)) return "are too small";
  if (worker.leaving) return "are leaving";
  if (!worker.reachable || worker.stale) return "cannot be reached";
  if (worker.health.kind !== "trusted") return "fail what they start";
  if (!hasSpace(worker, demand)) return "are full";
  if (worker.hold !== undefined) return "are held for other work";
  if (worker.paused) return "refused a start just now";
  return "have room";
}
