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
import {
  currentInstant,
  DISTANT_PAST,
  elapsedMs,
  type Instant,
} from "./instant.ts";

/** How often a member confirms that it lives, in milliseconds. */
const CONFIRM_INTERVAL_MS = 350;
/** Pause after a call that failed, in milliseconds. */
const RETRY_DELAY_MS = 120;
/** How long after the store's first answer candidates are known, in ms. */
const CANDIDATES_KNOWN_AFTER_MS = 1_500;
/** How often a candidate looks whether it knows the others, in ms. */
const CANDIDATES_POLL_INTERVAL_MS = 40;
/** Confirmations in a row without work after which a member may leave. */
const MAX_IDLE_CONFIRMATIONS = 4;
/** How often a candidate looks whether a member is missing, in ms. */
const VACANCY_POLL_INTERVAL_MS = 350;
/** The longest pause that rank adds to that, in milliseconds. */
const MAX_RANK_DELAY_MS = 1_500;
/** What a membership needs. */
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
   * How long this instance holds back as a candidate, in milliseconds;
   * undefined while the other candidates are not known.
   *
   * @param members the present members
   */
  candidateWaitMs(members: string[]): number | undefined;
  /** Takes what this member holds; called before the next confirmation. */
  onAssignment(assignment: Assignment): void;
  signal: AbortSignal;
};

/** A membership in a group. */
export type GroupMembership = {
  /** Whether the store has said who the members are. */
  hasReadMembers(): boolean;
  /** When the membership was last applied for with success. */
  confirmedAt(): Instant;
  /** How often in a row the store has turned this member away. */
  refusals(): number;
  /** Confirms the membership now rather than after the usual pause. */
  confirm(): void;
  /** Leaves the group and applies anew, which raises the epoch. */
  rejoin(): void;
  /** Gives the membership up: another instance has taken its place. */
  resign(): void;
  /** Resolves when the signal has ended the membership. */
  done: Promise<void>;
};

type MembershipState = {
  host: GroupMembershipHost;
  /** When the membership was last applied for with success. */
  confirmedAt: Instant;
  generation: number;
  hasReadMembers: boolean;
  /** Ends the current pause early. */
  pauseController: AbortController;
  /** Whether another member has asked this instance to apply. */
  isInvited: boolean;
  refusals: number;
  /** How many confirmations in a row have brought no domain with work. */
  idleConfirmations: number;
  /** Whether another instance has taken the place of this one. */
  hasResigned: boolean;
  /** Whether the group still counts on a membership that is given up. */
  mustLeave: boolean;
};

/**
 * Joins the group when it needs a member, and stays in it until the signal
 * ends. Instances near the store apply first, since every decision waits for
 * the store. Each change of the members deals the domains anew, so the group
 * has as few members as its work needs.
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
    hasReadMembers: false,
    pauseController: new AbortController(),
    isInvited: false,
    refusals: 0,
    idleConfirmations: 0,
    hasResigned: false,
    // A former process at this address may have been a member.
    mustLeave: true,
  };
  return {
    hasReadMembers: () => state.hasReadMembers,
    confirmedAt: () => state.confirmedAt,
    refusals: () => state.refusals,
    confirm() {
      state.isInvited = true;
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
 * Ends a membership whose epoch may have been written under. Joining before
 * that is certain could bring the same epoch again.
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

/** Waits until the group needs this instance, as two readings agree. */
async function waitForVacancy(state: MembershipState): Promise<void> {
  const { signal, logger, clock, candidateWaitMs } = state.host;
  let candidatesKnownAtMs: number | undefined;
  let loggedNames: string | undefined;
  while (!signal.aborted && !state.isInvited) {
    const members = await readMembers(state);
    const names = members?.join(",") ?? "unknown";
    if (names !== loggedNames) {
      logger.info("The known group members changed.", { members: names });
    }
    loggedNames = names;
    if (members === undefined) continue;
    // A store that answers also tells who the other candidates are.
    candidatesKnownAtMs ??= clock.steadyMs() + CANDIDATES_KNOWN_AFTER_MS;
    const waitMs = candidateWaitMs(members);
    if (waitMs === undefined && clock.steadyMs() < candidatesKnownAtMs) {
      await pauseFor(state, CANDIDATES_POLL_INTERVAL_MS);
      continue;
    }
    if (hasVacancy(state, members)) {
      await pauseFor(state, waitMs ?? 0);
      const isStillVacant = state.isInvited ||
        hasVacancy(state, await readMembers(state));
      if (isStillVacant) break;
    }
    // The best candidates look most often; the others only step in for them.
    await pauseFor(
      state,
      VACANCY_POLL_INTERVAL_MS + Math.min(waitMs ?? 0, MAX_RANK_DELAY_MS),
    );
  }
  logger.info("Joining the group.", {
    invited: state.isInvited,
  });
}

/** Whether the group is known to have too few members. */
function hasVacancy(
  state: MembershipState,
  members: string[] | undefined,
): boolean {
  return members !== undefined && members.length < state.host.requiredMembers();
}

/** The members that hold domains; undefined where the store does not say. */
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

/** Whether the membership may have ended, also during a freeze. */
function mayHaveExpired(state: MembershipState): boolean {
  const { clock, member } = state.host;
  return state.confirmedAt !== DISTANT_PAST &&
    elapsedMs(clock, state.confirmedAt) > member.ttlMs;
}

/** Whether the group still counts on this instance. */
async function isStillMember(state: MembershipState): Promise<boolean> {
  const { member, logger } = state.host;
  const members = await readMembers(state);
  // Without word from the store, what runs goes on.
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

async function confirmOnce(state: MembershipState): Promise<void> {
  const { host } = state;
  const { store, clock, member, signal, logger } = host;
  state.isInvited = false;
  if (state.hasResigned) return;
  const sentAt = currentInstant(clock);
  const joinResult = await store.join(member, state.generation, signal);
  if (signal.aborted || state.hasResigned) return;
  if (joinResult.isErr()) {
    const isRefusal = joinResult.error.kind === "unavailable";
    state.refusals = isRefusal ? state.refusals + 1 : 0;
    logger.warn("Failed to confirm the group membership.", {
      fault: joinResult.error.kind,
      cause: joinResult.error.message,
      confirmedAgoMs: Math.round(elapsedMs(clock, state.confirmedAt)),
    });
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
 * Leaves a group that has more members than it needs, as after a time in
 * which many candidates saw none.
 */
async function leaveIfRedundant(state: MembershipState): Promise<void> {
  const { store, member, signal, logger, requiredMembers: wantedMembers } =
    state.host;
  state.idleConfirmations = 0;
  const members = await readMembers(state) ?? [];
  const others = members.filter((name) => name !== member.member);
  if (others.length < wantedMembers()) return;
  logger.info("Leaving the group, which has enough members.", {
    members: members.join(","),
  });
  const leaveResult = await store.leave(member, signal);
  if (leaveResult.isOk()) state.hasResigned = true;
}

async function pauseFor(
  state: MembershipState,
  delayMs: number,
): Promise<void> {
  const { clock, signal } = state.host;
  if (state.isInvited) return;
  state.pauseController = new AbortController();
  const endPause = () => state.pauseController.abort();
  signal.addEventListener("abort", endPause);
  await clock.sleep(delayMs, state.pauseController.signal);
  signal.removeEventListener("abort", endPause);
}
