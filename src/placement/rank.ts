/**
 * The order in which waiting work gets room.
 *
 * @module
 */
import { MOST_URGENT, NO_RESOURCES, RESOURCE_NAMES } from "../model/mod.ts";
import type { Lane } from "./lane.ts";
import type { Placement } from "./placement.ts";
import { firstGroup } from "./queue.ts";

/** Waiting this long makes work one step more urgent, in milliseconds. */
export const AGEING_STEP_MS = 120_000;
/** Age alone never makes work as urgent as the most urgent. */
const MOST_URGENT_BY_AGE = MOST_URGENT - 1;

/** The lanes in which tasks wait, in the order in which they get room. */
export function rankLanes(
  placement: Placement,
  atMs: number,
  mayUse: (lane: Lane) => boolean = () => true,
): Lane[] {
  const ranks: Rank[] = [];
  for (const lane of placement.activeLanes) {
    if (mayUse(lane)) ranks.push(rankOf(placement, lane, atMs));
  }
  ranks.sort(compareRanks);
  return ranks.map(({ lane }) => lane);
}

/** Urgency raised by the time waited; the most urgent stays first. */
export function agedUrgency(urgency: number, waitedMs: number): number {
  if (urgency > MOST_URGENT_BY_AGE) return urgency;
  const raised = urgency + Math.floor(waitedMs / AGEING_STEP_MS);
  return Math.min(raised, MOST_URGENT_BY_AGE);
}

/** The part of its share that an agreement uses, by its largest resource. */
export function shareUsed(placement: Placement, agreement: string): number {
  const share = placement.shares.get(agreement);
  if (share === undefined) return 0;
  const used = placement.used.get(agreement) ?? NO_RESOURCES;
  let most = 0;
  for (const name of RESOURCE_NAMES) {
    if (used[name] <= 0) continue;
    most = Math.max(most, share[name] > 0 ? used[name] / share[name] : 1);
  }
  return most;
}

type Rank = { lane: Lane; urgency: number; used: number; queuedAtMs: number };

function rankOf(placement: Placement, lane: Lane, atMs: number): Rank {
  const queuedAtMs = firstGroup(lane)?.queuedAtMs ?? atMs;
  return {
    lane,
    urgency: agedUrgency(lane.urgency, atMs - queuedAtMs),
    used: shareUsed(placement, lane.agreement),
    queuedAtMs,
  };
}

function compareRanks(a: Rank, b: Rank): number {
  return b.urgency - a.urgency || a.used - b.used ||
    a.queuedAtMs - b.queuedAtMs;
}
