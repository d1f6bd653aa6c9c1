/**
 * Which instances become owners, and when.
 *
 * @module
 */
import { hash32 } from "../base/mod.ts";
import type { Partition } from "../hosts/mod.ts";
import {
  type EntryContext,
  OWNER_GROUP,
  partitionsInUse,
} from "./entry_context.ts";

/** Wait of a candidate per millisecond of round trip to the store, in ms. */
const WAIT_MS_PER_ROUND_TRIP_MS = 12;
/** Longer round trips to the store count as this one, in milliseconds. */
const MAX_ROUND_TRIP_MS = 60;
/** Processor share from which an instance is not delayed, in cores. */
const FULL_OWNER_CORES = 0.6;
/** Additional wait of an instance with a processor share of 0, in ms. */
const MAX_MISSING_CORES_WAIT_MS = 1_500;
const MAX_JITTER_MS = 200;
/** Join delay per rank while the group has no members, in milliseconds. */
const JOIN_DELAY_PER_RANK_MS = 200;
/**
 * Join delay per rank while the group has members, in ms. It is longer
 * because a new member becomes visible only after the present members have
 * released domains.
 */
const JOIN_DELAY_PER_RANK_WITH_MEMBERS_MS = 1_200;
/**
 * Number of workers that one owner can serve. One start takes 0.9 ms of
 * processor time, so at two starts per second and worker they take about half a
 * core.
 */
const WORKERS_PER_OWNER = 400;

/**
 * Returns how many members the owner group needs for its workers: at least one,
 * and at most one per domain in use.
 */
export function requiredMemberCount(context: EntryContext): number {
  const workers = context.workers.workers().length;
  const neededMembers = Math.ceil(workers / WORKERS_PER_OWNER);
  return Math.max(1, Math.min(neededMembers, partitionsInUse(context).size));
}

/**
 * Returns the wait that ranks this instance as a candidate for ownership, in
 * milliseconds. Instances near the store rank first, since every decision waits
 * for the store; instances with few cores rank lower, and a jitter derived from
 * the address separates equal ones.
 */
export async function measureCandidateWait(
  context: EntryContext,
): Promise<number> {
  const { platform, clock, ending, settings, self } = context;
  const sentAtMs = clock.steadyMs();
  await platform.store.owners(OWNER_GROUP, ending.signal);
  const roundTripMs = clock.steadyMs() - sentAtMs;
  const { cores } = settings.instance;
  const missingShare = Math.max(0, FULL_OWNER_CORES - cores) / FULL_OWNER_CORES;
  return Math.round(
    Math.min(roundTripMs, MAX_ROUND_TRIP_MS) * WAIT_MS_PER_ROUND_TRIP_MS +
      missingShare * MAX_MISSING_CORES_WAIT_MS + hash32(self) % MAX_JITTER_MS,
  );
}

/**
 * Returns how long this instance waits before it joins the owner group. The
 * best candidate joins at once, and its membership is visible before the next
 * candidate acts.
 *
 * @param members the current members
 * @returns the delay in ms; undefined while the other candidates are not known
 */
export function joinDelayMs(
  context: EntryContext,
  members: string[],
): number | undefined {
  const rank = context.instances.rank(members);
  if (rank === undefined) return undefined;
  const delayPerRankMs = members.length === 0
    ? JOIN_DELAY_PER_RANK_MS
    : JOIN_DELAY_PER_RANK_WITH_MEMBERS_MS;
  return rank * delayPerRankMs;
}

/** Whether any of these domains is in use; true while that is not known yet. */
export function hasWork(
  context: EntryContext,
  partitions: Partition[],
): boolean {
  const inUse = partitionsInUse(context);
  return inUse.size === 0 || partitions.some(({ number }) => inUse.has(number));
}
