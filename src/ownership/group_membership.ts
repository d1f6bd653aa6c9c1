/**
 * The membership of this instance in the group whose members own the domains.
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
import {
  currentInstant,
  DISTANT_PAST,
  elapsedMs,
  type Instant,
} from "./instant.ts";
import { nextTtlMs } from "./member_ttl.ts";

/** How often a member confirms its membership, in milliseconds. */
const CONFIRM_INTERVAL_MS = 350;
/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 120;
/** The longest wait for the other candidates after the first read, in ms. */
const CANDIDATES_KNOWN_AFTER_MS = 1_500;
/** How often a candidate checks whether it knows the others, in ms. */
const CANDIDATES_POLL_INTERVAL_MS = 40;
/** Consecutive confirmations without work after which a member may leave. */
const MAX_IDLE_CONFIRMATIONS = 4;
/** How often a candidate checks the group for a vacancy, in milliseconds. */
const VACANCY_POLL_INTERVAL_MS = 350;
/** The longest delay that a low rank adds to that, in milliseconds. */
const MAX_RANK_DELAY_MS = 1_500;

/** Dependencies of a membership. */
export type GroupMembershipHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  member: GroupMember;
  /** How many members the group needs. */
  requiredMembers(): number;
  /** Whether any domain of an assignment has work. */
  hasWork(assignment: Assignment): boolean;
  /**
   * How long this instance waits for better candidates before it joins, in
   * milliseconds; undefined while the other candidates are not known.
   *
   * @param members the current members
   */
  candidateWaitMs(members: string[]): number | undefined;
  /** Called with the member's assignment before the next confirmation. */
  onAssignment(assignment: Assignment): void;
  signal: AbortSignal;
};

/** A membership in a group. */
export type GroupMembership = {
  /** Whether the members have been read from the store. */
  hasReadMembers(): boolean;
  /** When the latest successful confirmation was sent. */
  confirmedAt(): Instant;
  /** How many consecutive confirmations the store has refused. */
  refusals(): number;
  /** Confirms the membership now, or joins if this is a candidate. */
  confirm(): void;
  /** Leaves the group and joins it again, which raises the epoch. */
  rejoin(): void;
  /** Ends the membership because another instance has replaced this one. */
  resign(): void;
  /** Resolves after the signal has ended the membership. */
  done: Promise<void>;
};

type MembershipState = {
  host: GroupMembershipHost;
  /** When the latest successful confirmation was sent. */
  confirmedAt: Instant;
  generation: number;
  /** The membership to ask for, in ms: as set, unless the store rejects it. */
  ttlMs: number;
  hasReadMembers: boolean;
  /** Ends the current delay early. */
  pauseController: AbortController;
  /** Whether `confirm` was called since the last confirmation. */
  isConfirmRequested: boolean;
  refusals: number;
  /** Consecutive confirmations that assigned no domain with work. */
  idleConfirmations: number;
  /** Whether the current membership has been given up. */
  hasResigned: boolean;
  /** Whether the store may still list a former membership. */
  mustLeave: boolean;
};

/**
 * Joins the group when it needs a member, and remains a member until the signal
 * aborts. Instances close to the store join first, since every decision waits
 * for the store. Each membership change reassigns the domains, so the group is
 * kept as small as its work allows.
 *
 * @example
 * ```ts
 * const membership = joinGroup(host);
 * ```
 */
export function joinGroup(host: GroupMembershipHost): GroupMembership {
  const state: MembershipState = {
    host,
    confirmedAt: DISTANT_PAST,
    generation: 0,
    ttlMs: host.member.ttlMs,
    hasReadMembers: false,
    pauseController: new AbortController(),
    isConfirmRequested: false,
    refusals: 0,
    idleConfirmations: 0,
    hasResigned: false,
    // An earlier process at this address may have been a member.
    mustLeave: true,
  };
  return {
    hasReadMembers: () => state.hasReadMembers,
    confirmedAt: () => state.confirmedAt,
    refusals: () => state.refusals,
    confirm() {
      state.isConfirmRequested = true;
      state.pauseController.abort();
    },
    rejoin() {
      state.mustLeave = true;
      state.hasResigned = true;
      state.pauseController.abort();
    },
    resign() {
      state.hasResigned = true;
      state.pauseController.abort();
    },
    done: runMembership(state),
  };
}

/** Joins and leaves the group repeatedly, until the signal aborts. */
async function runMembership(state: MembershipState): Promise<void> {
  const { host } = state;
  const { signal } = host;
  while (!signal.aborted) {
    if (state.mustLeave) await endFormerMembership(state);
    await waitForVacancy(state);
    state.hasResigned = false;
    state.idleConfirmations = 0;
    while (!signal.aborted && !state.hasResigned) {
      if (mayHaveExpired(state) && !await isStillMember(state)) break;
      await confirmOnce(state);
    }
    if (signal.aborted) return;
    state.confirmedAt = DISTANT_PAST;
    const { generation } = state;
    host.onAssignment({ generation, partitions: [] });
  }
}

/**
 * Retries until the store has ended the former membership, whose epoch may
 * already have been used for appends. Joining earlier could return the same
 * epoch again.
 */
async function endFormerMembership(state: MembershipState): Promise<void> {
  const { store, member, signal, logger, clock } = state.host;
  while (!signal.aborted) {
    const leaveResult = await store.leave(member, signal);
    if (leaveResult.isOk()) break;
    logger.warn("Failed to leave the group for a former membership.", {
      fault: leaveResult.error.kind,
      cause: leaveResult.error.message,
    });
    await clock.sleep(RETRY_DELAY_MS, signal);
  }
  state.mustLeave = false;
}

/** Waits for a call of `confirm`, or a vacancy that two reads agree on. */
async function waitForVacancy(state: MembershipState): Promise<void> {
  const { signal, logger, clock, candidateWaitMs } = state.host;
  let candidatesKnownAtMs: number | undefined;
  let loggedNames: string | undefined;
  while (!signal.aborted && !state.isConfirmRequested) {
    const members = await readMembers(state);
    const names = members?.join(",") ?? "unknown";
    if (names !== loggedNames) {
      logger.info("The known group members changed.", { members: names });
    }
    loggedNames = names;
    if (members === undefined) continue;
    // A store that answers will also provide the list of other candidates.
    candidatesKnownAtMs ??= clock.steadyMs() + CANDIDATES_KNOWN_AFTER_MS;
    const waitMs = candidateWaitMs(members);
    if (waitMs === undefined && clock.steadyMs() < candidatesKnownAtMs) {
      await pauseFor(state, CANDIDATES_POLL_INTERVAL_MS);
      continue;
    }
    if (hasVacancy(state, members)) {
      await pauseFor(state, waitMs ?? 0);
      const isStillVacant = state.isConfirmRequested ||
        hasVacancy(state, await readMembers(state));
      if (isStillVacant) break;
    }
    // The best candidates check most often; the others are their fallback.
    await pauseFor(
      state,
      VACANCY_POLL_INTERVAL_MS + Math.min(waitMs ?? 0, MAX_RANK_DELAY_MS),
    );
  }
  logger.info("Joining the group.", {
    invited: state.isConfirmRequested,
  });
}

/** Whether the group is known to have fewer members than it needs. */
function hasVacancy(
  state: MembershipState,
  members: string[] | undefined,
): boolean {
  return members !== undefined && members.length < state.host.requiredMembers();
}

/** Reads the members that own domains; undefined if the store call fails. */
async function readMembers(
  state: MembershipState,
): Promise<string[] | undefined> {
  const { store, clock, member, signal } = state.host;
  const owners = await store.owners(member.group, signal);
  if (owners.isErr()) {
    await clock.sleep(RETRY_DELAY_MS, signal);
    return undefined;
  }
  state.hasReadMembers = true;
  return [...new Set(owners.value.map((owner) => owner.member))];
}

/** Whether the TTL has passed, including time while the process was frozen. */
function mayHaveExpired(state: MembershipState): boolean {
  const { confirmedAt, ttlMs } = state;
  return confirmedAt !== DISTANT_PAST &&
    elapsedMs(state.host.clock, confirmedAt) > ttlMs;
}

/** Whether this instance is still a member, or may fill a vacancy at once. */
async function isStillMember(state: MembershipState): Promise<boolean> {
  const { member, logger } = state.host;
  const members = await readMembers(state);
  // While the store does not answer, the membership continues.
  if (members === undefined) return true;
  const isMember = members.includes(member.member) ||
    hasVacancy(state, members);
  if (!isMember) {
    logger.warn("The group no longer includes this instance.", {
      members: members.join(","),
    });
    state.confirmedAt = DISTANT_PAST;
  }
  return isMember;
}

/** Confirms the membership, applies the assignment, and waits. */
async function confirmOnce(state: MembershipState): Promise<void> {
  const { host } = state;
  const { store, clock, signal, logger } = host;
  state.isConfirmRequested = false;
  if (state.hasResigned) return;
  const sentAt = currentInstant(clock);
  const member = { ...host.member, ttlMs: state.ttlMs };
  const joinResult = await store.join(member, state.generation, signal);
  if (signal.aborted || state.hasResigned) return;
  if (joinResult.isErr()) {
    const isRefusal = joinResult.error.kind === "unavailable";
    state.refusals = isRefusal ? state.refusals + 1 : 0;
    logger.warn("Failed to confirm the group membership.", {
      fault: joinResult.error.kind,
      cause: joinResult.error.message,
      confirmedAgoMs: Math.round(elapsedMs(clock, state.confirmedAt)),
      ttlMs: state.ttlMs,
    });
    if (joinResult.error.kind === "rejected") {
      state.ttlMs = nextTtlMs(state.ttlMs, host.member.ttlMs);
    }
    await pauseFor(state, RETRY_DELAY_MS);
    return;
  }
  state.refusals = 0;
  state.confirmedAt = sentAt;
  if (joinResult.value.generation !== state.generation) {
    logger.info("The domain assignment changed.", {
      generation: joinResult.value.generation,
      partitions: joinResult.value.partitions.map(({ number }) => number)
        .join(","),
      ttlMs: state.ttlMs,
    });
  }
  state.generation = joinResult.value.generation;
  host.onAssignment(joinResult.value);
  state.idleConfirmations = host.hasWork(joinResult.value)
    ? 0
    : state.idleConfirmations + 1;
  if (state.idleConfirmations >= MAX_IDLE_CONFIRMATIONS) {
    await leaveIfRedundant(state);
  }
  await pauseFor(state, CONFIRM_INTERVAL_MS);
}

/**
 * Leaves the group if it has more members than it needs, as after an outage
 * during which many candidates saw an empty group and joined.
 */
async function leaveIfRedundant(state: MembershipState): Promise<void> {
  const { store, member, signal, logger, requiredMembers } = state.host;
  state.idleConfirmations = 0;
  const members = await readMembers(state) ?? [];
  const others = members.filter((name) => name !== member.member);
  if (others.length < requiredMembers()) return;
  logger.info("Leaving the group, which has enough members.", {
    members: members.join(","),
  });
  const leaveResult = await store.leave(member, signal);
  if (leaveResult.isOk()) state.hasResigned = true;
}

/** Sleeps, unless `confirm`, a resignation or the signal ends it. */
async function pauseFor(
  state: MembershipState,
  delayMs: number,
): Promise<void> {
  const { clock, signal } = state.host;
  if (state.isConfirmRequested) return;
  state.pauseController = new AbortController();
  const endPause = () => state.pauseController.abort();
  signal.addEventListener("abort", endPause);
  await clock.sleep(delayMs, state.pauseController.signal);
  signal.removeEventListener("abort", endPause);
}
