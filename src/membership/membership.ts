import type { ListedInstance } from "../hosts/mod.ts";
import type { Instance } from "../model/mod.ts";
import type { HeldWorker } from "./held_worker.ts";
import type { Holder } from "./holder.ts";
import type { Member } from "./member.ts";

/** The times and addresses that membership goes by. */
export type MembershipOptions = {
  /** How long a member may be silent before it counts as dead. */
  deadAfterMs: number;
  /** How often each peer of the own zone is sent a heartbeat. */
  zoneBeatMs: number;
  /** How often each peer of another zone is sent a heartbeat. */
  remoteBeatMs: number;
  /** Base URLs to contact before any list was read. */
  seeds?: string[];
};

/** A worker that some instance has seen on the instance list. */
export type KnownWorker = {
  id: string;
  zone: string;
  leaving: boolean;
  /** When this instance first heard of it, on the steady clock. */
  knownSinceMs: number;
  /** The latest list known to show it, in milliseconds since the epoch. */
  listedAsOfMs: number;
};

/** A barred incarnation, and which of our workers acknowledged the bar. */
export type BarEntry = {
  holder: Holder;
  zone: string;
  /** When the bar was first made, on this instance's steady clock. */
  sinceMs: number;
  acknowledged: Set<string>;
  /** Workers that the incarnation knew when it was last heard here. */
  knew: Set<string>;
};

/** What one instance knows of its peers. */
export type Membership = {
  self: Instance;
  options: MembershipOptions;
  /** When the latest event arrived, on the steady clock. */
  nowMs: number;
  /** When silence was last looked at, on the steady clock. */
  advancedAtMs: number | undefined;
  /** Incarnations that were heard and are not barred. */
  members: Map<Holder, Member>;
  /** The incarnation heard last, by instance id. */
  latest: Map<string, Holder>;
  /** Ids of the instances that were heard, here or by a peer barring them. */
  heardOf: Set<string>;
  bars: Map<Holder, BarEntry>;
  /** Barred incarnations found settled, each joined with the zone. */
  settled: Set<string>;
  selfBarred: boolean;
  selfLeaving: boolean;
  /** When the latest instance list was true; -1 before the first one. */
  listedAsOfMs: number;
  listed: ListedInstance[];
  workers: Map<string, KnownWorker>;
  /** Workers that every peer of the zone is known to know. */
  shared: Set<string>;
  /** The workers that this instance holds, by id. */
  held: Map<string, HeldWorker>;
  /** Whether this incarnation has ever held a worker. */
  everHeld: boolean;
  /** The workers that this instance cannot reach. */
  unreachable: Set<string>;
  /** When each address was last sent a heartbeat, on the steady clock. */
  beatenAtMs: Map<string, number>;
};

/**
 * Creates the membership of an instance that has heard nothing yet.
 *
 * @example
 * ```ts
 * const membership = createMembership(self, {
 *   deadAfterMs: 6_000,
 *   zoneBeatMs: 1_000,
 *   remoteBeatMs: 5_000,
 * });
 * ```
 */
export function createMembership(
  self: Instance,
  options: MembershipOptions,
): Membership {
  return {
    self,
    options,
    nowMs: 0,
    advancedAtMs: undefined,
    members: new Map(),
    latest: new Map(),
    heardOf: new Set([self.id]),
    bars: new Map(),
    settled: new Set(),
    selfBarred: false,
    selfLeaving: false,
    listedAsOfMs: -1,
    listed: [],
    workers: new Map(),
    shared: new Set(),
    held: new Map(),
    everHeld: false,
    unreachable: new Set(),
    beatenAtMs: new Map(),
  };
}
