/**
 * The membership of this instance in the group that shares out the domains.
 *
 * @module
 */
import type {
  Assignment,
  Clock,
  GroupMember,
  StoreHost,
} from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** How often a member confirms that it lives, in milliseconds. */
export const JOIN_INTERVAL_MS = 600;
/** Pause after a call that failed, in milliseconds. */
const RETRY_MS = 120;
/** How often a candidate looks whether a member is missing, in ms. */
const CANDIDATE_INTERVAL_MS = 700;
/** How long a candidate waits for each millisecond to the store. */
const WAIT_PER_DISTANCE = 20;
/** The longest distance to the store that counts, in milliseconds. */
const LONGEST_DISTANCE_MS = 100;

/** What a membership needs. */
export type GroupMembershipHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  member: GroupMember;
  /** How many members the group needs. */
  wantedMembers(): number;
  /** How much later than others this instance applies, in milliseconds. */
  handicapMs: number;
  /** Takes what this member holds; called before the next confirmation. */
  onAssignment(assignment: Assignment): Promise<void>;
  signal: AbortSignal;
};

/** A membership in a group. */
export type GroupMembership = {
  /** Whether the store has said who the members are. */
  isKnown(): boolean;
  /** When the store last confirmed the membership, on the steady clock. */
  confirmedAtMs(): number;
  generation(): number;
  /** Confirms the membership now rather than after the usual pause. */
  confirm(): void;
  /** Resolves when the signal has ended the membership. */
  done: Promise<void>;
};

/**
 * Joins the group when it needs a member, and stays in it until the signal
 * ends. Instances near the store apply first, since every decision waits for
 * the store; few members mean few changes of owners while instances restart.
 * A former process at this address is gone, so what it still holds is freed
 * first.
 *
 * @example
 * ```ts
 * const membership = joinGroup(host);
 * ```
 */
export function joinGroup(host: GroupMembershipHost): GroupMembership {
  let confirmedAtMs = -Infinity;
  let generation = 0;
  let isKnown = false;
  let pause = new AbortController();

  async function rest(delayMs: number): Promise<void> {
    pause = new AbortController();
    const end = () => pause.abort();
    host.signal.addEventListener("abort", end);
    await host.clock.sleep(delayMs, pause.signal);
    host.signal.removeEventListener("abort", end);
  }

  async function stay(): Promise<void> {
    const { store, clock, member, signal, logger } = host;
    await apply();
    while (!signal.aborted) {
      const sentAtMs = clock.steadyMs();
      const joined = await store.join(member, generation, signal);
      if (signal.aborted) return;
      if (joined.isErr()) {
        logger.warn("The membership was not confirmed.", {
          fault: joined.error.kind,
          cause: joined.error.message,
          confirmedAgoMs: Math.round(sentAtMs - confirmedAtMs),
        });
        await clock.sleep(RETRY_MS, signal);
        continue;
      }
      confirmedAtMs = sentAtMs;
      isKnown = true;
      if (joined.value.generation !== generation) {
        logger.info("The domains were shared out anew.", {
          generation: joined.value.generation,
          partitions: joined.value.partitions.map(({ number }) => number)
            .join(","),
        });
      }
      generation = joined.value.generation;
      await host.onAssignment(joined.value);
      await rest(JOIN_INTERVAL_MS);
    }
  }

  /** Waits until the group needs this instance. */
  async function apply(): Promise<void> {
    const { store, clock, member, signal, logger } = host;
    const sentAtMs = clock.steadyMs();
    await store.leave(member, signal);
    const distanceMs = clock.steadyMs() - sentAtMs;
    const waitMs = Math.min(distanceMs, LONGEST_DISTANCE_MS) *
        WAIT_PER_DISTANCE + host.handicapMs;
    await rest(waitMs);
    while (!signal.aborted) {
      const owners = await store.owners(member.group, signal);
      if (owners.isErr()) {
        await rest(RETRY_MS);
        continue;
      }
      isKnown = true;
      const members = new Set(owners.value.map((owner) => owner.member));
      if (members.size < host.wantedMembers()) {
        logger.info("Applies for a place in the group.", {
          members: members.size,
          wanted: host.wantedMembers(),
          distanceMs: Math.round(distanceMs),
        });
        return;
      }
      await rest(CANDIDATE_INTERVAL_MS + waitMs);
    }
  }

  return {
    isKnown: () => isKnown,
    confirmedAtMs: () => confirmedAtMs,
    generation: () => generation,
    confirm: () => pause.abort(),
    done: stay(),
  };
}
