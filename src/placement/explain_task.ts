import { assertNever } from "../base/mod.ts";
import { demandOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { agedUrgency } from "./rank.ts";
import type { PlacedTask, QueuedTask } from "./task_entry.ts";

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
    `${placement.workers.size} workers here, none with the room`,
  ];
}
