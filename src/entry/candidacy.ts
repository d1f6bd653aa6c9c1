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

/** How long a candidate waits for each millisecond to the store. */
const WAIT_MS_PER_ROUND_TRIP_MS = 12;
/** The longest distance to the store that counts, in milliseconds. */
const MAX_ROUND_TRIP_MS = 60;
/** Processor share from which an instance is a good owner, in cores. */
const FULL_OWNER_CORES = 0.6;
/** How much later an instance without any processor would apply, in ms. */
const MAX_MISSING_CORES_WAIT_MS = 1_500;
const MAX_JITTER_MS = 200;
/** How much later the next best candidate takes over from nobody, in ms. */
const WAIT_PER_RANK_MS = 200;
/**
 * How much later the next best candidate joins other members, in ms. A new
 * member shows up only after those have given domains up.
 */
const JOINING_WAIT_PER_RANK_MS = 1_200;
/**
 * Workers that one owner can carry: at 0.9 ms of processor time for a start, as
 * measured with the stand-ins, they take about half a core at two starts a
 * second each.
 */
const WORKERS_PER_OWNER = 400;

/** As many members as the workers need, but none without a domain in use. */
export function wantedMemberCount(context: EntryContext): number {
  const workers = context.workers.workers().length;
  const neededMembers = Math.ceil(workers / WORKERS_PER_OWNER);
  return Math.max(1, Math.min(neededMembers, partitionsInUse(context).size));
}

/**
 * How long this instance holds back as a candidate for ownership. The nearest
 * to the store come first, since every decision waits for the store; small
 * instances come later, and a random part keeps equal ones apart.
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
 * How long this instance holds back before it takes a free place. The best
 * candidate takes it at once, and is seen to have it before the next one acts.
 *
 * @param members the present members
 * @returns the time in ms; undefined while the other candidates are not known
 */
export function candidateWaitMs(
  context: EntryContext,
  members: string[],
): number | undefined {
  const rank = context.instances.rank(members);
  if (rank === undefined) return undefined;
  const waitPerRankMs = members.length === 0
    ? WAIT_PER_RANK_MS
    : JOINING_WAIT_PER_RANK_MS;
  return rank * waitPerRankMs;
}

/** Whether any of some domains has work, or that is not known yet. */
export function hasWork(
  context: EntryContext,
  partitions: Partition[],
): boolean {
  const inUse = partitionsInUse(context);
  return inUse.size === 0 || partitions.some(({ number }) => inUse.has(number));
}
