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
import { elapsedMs, type Instant, instantOf, LONG_AGO } from "./instant.ts";

/** How often a member confirms that it lives, in milliseconds. */
const JOIN_INTERVAL_MS = 350;
/** Pause after a call that failed, in milliseconds. */
const RETRY_MS = 120;
/** How long after the store's first answer candidates are known, in ms. */
const CANDIDATES_KNOWN_AFTER_MS = 1_500;
/** How often a candidate looks whether it knows the others, in ms. */
const UNKNOWN_POLL_MS = 40;
/** Confirmations in a row without work after which a member may leave. */
const MAX_IDLE_CONFIRMATIONS = 4;
/** How often a candidate looks whether a member is missing, in ms. */
const CANDIDATE_INTERVAL_MS = 350;
/** The longest pause that rank adds to that, in milliseconds. */
const LONGEST_PAUSE_MS = 1_500;
/** What a membership needs. */
export type GroupMembershipHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  member: GroupMember;
  /** How many members the group needs. */
  wantedMembers(): number;
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
  isKnown(): boolean;
  /** When the membership was last applied for with success. */
  confirmedAt(): Instant;
  /** How often in a row the store has turned this member away. */
  refusals(): number;
  /** Confirms the membership now rather than after the usual pause. */
  confirm(): void;
  /** Leaves the group and applies anew, which raises the epoch. */
  renew(): void;
  /** Gives the membership up: another instance has taken its place. */
  resign(): void;
  /** Resolves when the signal has ended the membership. */
  done: Promise<void>;
};

type State = {
  host: GroupMembershipHost;
  /** When the membership was last applied for with success. */
  confirmedAt: Instant;
  generation: number;
  isKnown: boolean;
  /** Ends the current pause early. */
  pause: AbortController;
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
  const state: State = {
    host,
    confirmedAt: LONG_AGO,
    generation: 0,
    isKnown: false,
    pause: new AbortController(),
    isInvited: false,
    refusals: 0,
    idleConfirmations: 0,
    hasResigned: false,
    // A former process at this address may have been a member.
    mustLeave: true,
  };
  return {
    isKnown: () => state.isKnown,
    confirmedAt: () => state.confirmedAt,
    refusals: () => state.refusals,
    confirm() {
      state.isInvited = true;
      state.pause.abort();
    },
    renew() {
      state.mustLeave = true;
      state.hasResigned = true;
      state.pause.abort();
    },
    resign() {
      state.hasResigned = true;
      state.pause.abort();
    },
    done: takePart(state),
  };
}

async function takePart(state: State): Promise<void> {
  const { host } = state;
  const { signal } = host;
  while (!signal.aborted) {
    if (state.mustLeave) await leaveForGood(state);
    await apply(state);
    state.hasResigned = false;
    state.idleConfirmations = 0;
    while (!signal.aborted && !state.hasResigned) {
      if (hasLapsed(state) && !await isStillMember(state)) break;
      await confirmOnce(state);
    }
    if (signal.aborted) return;
    state.confirmedAt = LONG_AGO;
    const { generation } = state;
    host.onAssignment({ generation, partitions: [] });
  }
}

/**
 * Ends a membership whose epoch may have been written under. Joining before
 * that is certain could bring the same epoch again.
 */
async function leaveForGood(state: State): Promise<void> {
  const { store, member, signal, logger, clock } = state.host;
  while (!signal.aborted) {
    const left = await store.leave(member, signal);
    if (left.isOk()) break;
    logger.warn("The store did not end a former membership.", {
      fault: left.error.kind,
      cause: left.error.message,
    });
    await clock.sleep(RETRY_MS, signal);
  }
  state.mustLeave = false;
}

/** Waits until the group needs this instance, as two readings agree. */
async function apply(state: State): Promise<void> {
  const { signal, logger, clock, candidateWaitMs } = state.host;
  let knownAtMs: number | undefined;
  let seen: string | undefined;
  while (!signal.aborted && !state.isInvited) {
    const members = await readMembers(state);
    const names = members?.join(",") ?? "unknown";
    if (names !== seen) {
      logger.info("Sees the members of the group.", { members: names });
    }
    seen = names;
    if (members === undefined) continue;
    // A store that answers also tells who the other candidates are.
    knownAtMs ??= clock.steadyMs() + CANDIDATES_KNOWN_AFTER_MS;
    const waitMs = candidateWaitMs(members);
    if (waitMs === undefined && clock.steadyMs() < knownAtMs) {
      await rest(state, UNKNOWN_POLL_MS);
      continue;
    }
    if (isMissing(state, members)) {
      await rest(state, waitMs ?? 0);
      const again = state.isInvited ||
        isMissing(state, await readMembers(state));
      if (again) break;
    }
    // The best candidates look most often; the others only step in for them.
    await rest(
      state,
      CANDIDATE_INTERVAL_MS + Math.min(waitMs ?? 0, LONGEST_PAUSE_MS),
    );
  }
  logger.info("Applies for a place in the group.", {
    invited: state.isInvited,
  });
}

/** Whether the group is known to have too few members. */
function isMissing(state: State, members: string[] | undefined): boolean {
  return members !== undefined && members.length < state.host.wantedMembers();
}

/** The members that hold domains; undefined where the store does not say. */
async function readMembers(state: State): Promise<string[] | undefined> {
  const { store, clock, member, signal } = state.host;
  const owners = await store.owners(member.group, signal);
  if (owners.isErr()) {
    await clock.sleep(RETRY_MS, signal);
    return undefined;
  }
  state.isKnown = true;
  return [...new Set(owners.value.map((owner) => owner.member))];
}

/** Whether the membership may have ended, also during a freeze. */
function hasLapsed(state: State): boolean {
  const { clock, member } = state.host;
  return state.confirmedAt !== LONG_AGO &&
    elapsedMs(clock, state.confirmedAt) > member.ttlMs;
}

/** Whether the group still counts on this instance. */
async function isStillMember(state: State): Promise<boolean> {
  const { member, logger } = state.host;
  const members = await readMembers(state);
  // Without word from the store, what runs goes on.
  if (members === undefined) return true;
  const isMember = members.includes(member.member) ||
    isMissing(state, members);
  if (!isMember) {
    logger.warn("The group went on without this instance.", {
      members: members.join(","),
    });
    state.confirmedAt = LONG_AGO;
  }
  return isMember;
}

async function confirmOnce(state: State): Promise<void> {
  const { host } = state;
  const { store, clock, member, signal, logger } = host;
  state.isInvited = false;
  if (state.hasResigned) return;
  const sentAt = instantOf(clock);
  const joined = await store.join(member, state.generation, signal);
  if (signal.aborted || state.hasResigned) return;
  if (joined.isErr()) {
    const isRefusal = joined.error.kind === "unavailable";
    state.refusals = isRefusal ? state.refusals + 1 : 0;
    logger.warn("The membership was not confirmed.", {
      fault: joined.error.kind,
      cause: joined.error.message,
      confirmedAgoMs: Math.round(elapsedMs(clock, state.confirmedAt)),
    });
    await rest(state, RETRY_MS);
    return;
  }
  state.refusals = 0;
  state.confirmedAt = sentAt;
  if (joined.value.generation !== state.generation) {
    logger.info("The domains were shared out anew.", {
      generation: joined.value.generation,
      partitions: joined.value.partitions.map(({ number }) => number)
        .join(","),
    });
  }
  state.generation = joined.value.generation;
  host.onAssignment(joined.value);
  state.idleConfirmations = host.hasWork(joined.value)
    ? 0
    : state.idleConfirmations + 1;
  if (state.idleConfirmations >= MAX_IDLE_CONFIRMATIONS) {
    await leaveIfSpare(state);
  }
  await rest(state, JOIN_INTERVAL_MS);
}

/**
 * Leaves a group that has more members than it needs, as after a time in
 * which many candidates saw none.
 */
async function leaveIfSpare(state: State): Promise<void> {
  const { store, member, signal, logger, wantedMembers } = state.host;
  state.idleConfirmations = 0;
  const members = await readMembers(state) ?? [];
  const others = members.filter((name) => name !== member.member);
  if (others.length < wantedMembers()) return;
  logger.info("Leaves the group, which has members enough.", {
    members: members.join(","),
  });
  const left = await store.leave(member, signal);
  if (left.isOk()) state.hasResigned = true;
}

async function rest(state: State, delayMs: number): Promise<void> {
  const { clock, signal } = state.host;
  if (state.isInvited) return;
  state.pause = new AbortController();
  const end = () => state.pause.abort();
  signal.addEventListener("abort", end);
  await clock.sleep(delayMs, state.pause.signal);
  signal.removeEventListener("abort", end);
}
