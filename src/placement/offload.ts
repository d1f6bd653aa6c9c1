/**
 * Work that waits here while a peer may have room for it.
 *
 * @module
 */
import { PREEMPTING_URGENCY } from "../model/mod.ts";
import type { Placement } from "./placement.ts";
import { waitingGroups, waitingTasks } from "./queue.ts";
import { rankLanes } from "./rank.ts";
import type { Step } from "./step.ts";
import type { WaitingGroup } from "./waiting_group.ts";

/** The driver is asked to move the same request once in this time. */
const OFFLOAD_EVERY_MS = 1_000;
/** Where control costs weigh most, this is the time for less urgent work. */
const PATIENT_OFFLOAD_EVERY_MS = 10_000;
/** Where control costs weigh most, work waits this long before it moves. */
const PATIENCE_MS = 2_000;
/** How many requests are offered to peers at once. */
const MOST_OFFLOADS = 64;

/** Asks the driver to move a group, where that is due. */
export function offloadGroup(step: Step, group: WaitingGroup): void {
  const { placement, atMs, commands } = step;
  if (group.waiting === 0 || !isDue(placement, group, atMs)) return;
  const taskIds = [...waitingTasks(group)]
    .filter(({ task }) => task.attempt === 1)
    .map(({ task }) => task.id);
  if (taskIds.length === 0) return;
  const isWhole = taskIds.length === group.tasks.length;
  if (group.policy.kind === "gang" && !isWhole) return;
  group.offloadedAtMs = atMs;
  commands.push({ kind: "offload", requestId: group.requestId, taskIds });
}

/** Offers waiting groups to peers, most urgent first, once in a while. */
export function offloadWaiting(step: Step): void {
  const { placement, atMs, commands } = step;
  if (placement.queued === 0) return;
  if (atMs - placement.offloadedAtMs < OFFLOAD_EVERY_MS) return;
  placement.offloadedAtMs = atMs;
  const most = commands.length + MOST_OFFLOADS;
  for (const lane of rankLanes(placement, atMs)) {
    for (const group of waitingGroups(lane)) {
      if (commands.length >= most) return;
      offloadGroup(step, group);
    }
  }
}

function isDue(
  placement: Placement,
  group: WaitingGroup,
  atMs: number,
): boolean {
  const { offloadedAtMs, queuedAtMs, urgency } = group;
  const isPatient = placement.options.preference === "cost" &&
    urgency < PREEMPTING_URGENCY;
  if (offloadedAtMs !== undefined) {
    const everyMs = isPatient ? PATIENT_OFFLOAD_EVERY_MS : OFFLOAD_EVERY_MS;
    return atMs - offloadedAtMs >= everyMs;
  }
  return !isPatient || atMs - queuedAtMs >= PATIENCE_MS;
}
