/**
 * Holds: how work that fits nowhere at present gets room that other work
 * would otherwise take piece by piece.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import { type Policy, PREEMPTING_URGENCY } from "../model/mod.ts";
import type { Hold } from "./hold.ts";
import type { Lane } from "./lane.ts";
import { planHold } from "./plan_hold.ts";
import type { Placement } from "./placement.ts";
import { preemptFor } from "./preempt.ts";
import { waitingGroups } from "./queue.ts";
import { rankLanes } from "./rank.ts";
import { refreshLeaf } from "./room.ts";
import type { Step } from "./step.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** Work that is neither urgent nor a gang waits this long without a hold. */
const PATIENCE_MS = 5_000;
/** Where control costs weigh most, urgent work preempts after this time. */
const URGENT_PATIENCE_MS = 400;
/** How long a hold lasts for work that is not a gang. */
const HOLD_MS = 30_000;
/** How many groups below the preempting urgency have holds at once. */
const MOST_HOLDS = 4;
/** At most this part of the workers is held at once. */
const MOST_HELD = 0.5;
/** How many waiting groups of an urgent lane may have holds. */
const URGENT_GROUPS = 16;
/** For how many of its tasks an urgent group has holds. */
const TASKS_HELD = 8;

/** Takes a hold for a group that preempts, where it still waits. */
export function holdAtOnce(step: Step, group: WaitingGroup): void {
  if (group.waiting === 0 || group.hold !== undefined) return;
  if (group.urgency < PREEMPTING_URGENCY) return;
  if (!isPatienceOver(step, group)) return;
  takeHold(step, group);
}

/** Takes holds for urgent work, where some waits. */
export function takeUrgentHolds(step: Step): void {
  const { queuedByUrgency } = step.placement;
  const urgent = queuedByUrgency.slice(PREEMPTING_URGENCY);
  if (urgent.every((count) => count === 0)) return;
  const isUrgent = (lane: Lane) => lane.urgency >= PREEMPTING_URGENCY;
  for (const lane of rankLanes(step.placement, step.atMs, isUrgent)) {
    for (const group of firstFew(waitingGroups(lane), URGENT_GROUPS)) {
      holdAtOnce(step, group);
    }
  }
}

/** Takes holds for the groups that have waited long enough, in order. */
export function takeHolds(step: Step): void {
  const { placement } = step;
  if (placement.queued === 0) return;
  for (const group of groupsToHold(step)) {
    if (group.hold !== undefined) continue;
    const isUrgent = group.urgency >= PREEMPTING_URGENCY;
    if (!isUrgent && placement.holds.size >= MOST_HOLDS) return;
    if (isPatienceOver(step, group)) takeHold(step, group);
  }
}

/** Ends the holds that have expired; their groups go behind the others. */
export function expireHolds(step: Step): void {
  for (const hold of step.placement.holds) {
    if (hold.untilMs > step.atMs && hold.group.waiting > 0) continue;
    hold.group.holdsLost += 1;
    endHold(step.placement, hold);
  }
}

/** Ends a hold; its workers take any work again. */
export function endHold(placement: Placement, hold: Hold): void {
  placement.holds.delete(hold);
  if (hold.group.hold === hold) hold.group.hold = undefined;
  for (const worker of [...hold.workers.keys()]) unhold(placement, worker);
}

/** Takes one worker out of its hold. */
export function unhold(placement: Placement, worker: WorkerState): void {
  const { hold } = worker;
  if (hold === undefined) return;
  worker.hold = undefined;
  hold.workers.delete(worker);
  placement.held -= 1;
  refreshLeaf(placement, worker);
  if (hold.workers.size === 0) endHold(placement, hold);
}

/** Notes that a worker got one of the tasks it was held for. */
export function useHold(placement: Placement, worker: WorkerState): void {
  const left = (worker.hold?.workers.get(worker) ?? 0) - 1;
  if (left > 0) worker.hold?.workers.set(worker, left);
  else unhold(placement, worker);
}

/** The head groups of all lanes, in the one order in which holds are taken. */
function groupsToHold(step: Step): WaitingGroup[] {
  const heads: WaitingGroup[] = [];
  for (const lane of rankLanes(step.placement, step.atMs)) {
    const groups = [...firstFew(waitingGroups(lane), MOST_HOLDS)];
    groups.sort((a, b) => a.holdsLost - b.holdsLost);
    heads.push(...groups);
  }
  return heads;
}

function* firstFew(
  groups: Iterable<WaitingGroup>,
  most: number,
): Generator<WaitingGroup> {
  let count = 0;
  for (const group of groups) {
    if (count === most) return;
    count += 1;
    yield group;
  }
}

function takeHold(step: Step, group: WaitingGroup): void {
  const { placement, atMs } = step;
  const limit = Math.max(1, Math.floor(MOST_HELD * placement.workers.size));
  if (placement.held >= limit) return;
  const plan = planHold(step, group, tasksToHold(group));
  if (plan === undefined) return;
  const isGang = group.policy.kind === "gang";
  if (!isGang && placement.held + plan.workers.size > limit) return;
  const untilMs = atMs + holdMs(group.policy);
  const hold: Hold = { group, untilMs, ...plan };
  placement.holds.add(hold);
  group.hold = hold;
  for (const worker of hold.workers.keys()) {
    worker.hold = hold;
    placement.held += 1;
    refreshLeaf(placement, worker);
  }
  preemptFor(step, hold);
}

function tasksToHold(group: WaitingGroup): number {
  if (group.policy.kind === "gang") return group.waiting;
  if (group.urgency < PREEMPTING_URGENCY) return 1;
  return Math.min(group.waiting, TASKS_HELD);
}

function isPatienceOver({ placement, atMs }: Step, group: WaitingGroup) {
  const waitedMs = atMs - group.queuedAtMs;
  if (group.urgency >= PREEMPTING_URGENCY) {
    const { preference } = placement.options;
    return preference === "waiting" || waitedMs >= URGENT_PATIENCE_MS;
  }
  return group.policy.kind === "gang" || waitedMs >= PATIENCE_MS;
}

function holdMs(policy: Policy): number {
  switch (policy.kind) {
    case "gang":
      return policy.holdMs;
    case "batch":
    case "service":
      return HOLD_MS;
    default:
      return assertNever(policy);
  }
}
