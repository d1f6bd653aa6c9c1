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

/** What a membership needs. */
export type GroupMembershipHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  member: GroupMember;
  /** Takes what this member holds; called before the next confirmation. */
  onAssignment(assignment: Assignment): Promise<void>;
  signal: AbortSignal;
};

/** A membership in a group. */
export type GroupMembership = {
  /** When the store last confirmed the membership, on the steady clock. */
  confirmedAtMs(): number;
  generation(): number;
  /** Resolves when the signal has ended the membership. */
  done: Promise<void>;
};

/**
 * Joins the group and stays in it until the signal ends. A former process at
 * this address is gone, so what it still holds is freed first.
 *
 * @example
 * ```ts
 * const membership = joinGroup(host);
 * ```
 */
export function joinGroup(host: GroupMembershipHost): GroupMembership {
  let confirmedAtMs = -Infinity;
  let generation = 0;

  async function stay(): Promise<void> {
    const { store, clock, member, signal, logger } = host;
    await store.leave(member, signal);
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
      if (joined.value.generation !== generation) {
        logger.info("The domains were shared out anew.", {
          generation: joined.value.generation,
          partitions: joined.value.partitions.map(({ number }) => number)
            .join(","),
        });
      }
      generation = joined.value.generation;
      await host.onAssignment(joined.value);
      await clock.sleep(JOIN_INTERVAL_MS, signal);
    }
  }

  return {
    confirmedAtMs: () => confirmedAtMs,
    generation: () => generation,
    done: stay(),
  };
}
