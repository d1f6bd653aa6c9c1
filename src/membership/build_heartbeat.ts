import { compareStrings } from "../base/mod.ts";
import type { Bar } from "./bar.ts";
import { setHeld } from "./bars.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { HeldWorker } from "./held_worker.ts";
import { holderOf } from "./holder.ts";
import type { Load } from "./load.ts";
import type { BarEntry, Membership } from "./membership.ts";
import { knownWorkers } from "./settlement.ts";
import { heardMembers } from "./views.ts";

/** What the instance adds to a heartbeat from its other parts. */
export type HeartbeatExtras = {
  leaving: boolean;
  /** Version of the configuration that is in force. */
  version: number;
  held: HeldWorker[];
  /** Workers of the own zone that cannot be reached. */
  unreachable: string[];
  load: Load;
};

/**
 * Builds the next heartbeat, and notes the workers that are held and whether
 * this instance is leaving.
 *
 * @example
 * ```ts
 * const heartbeat = buildHeartbeat(membership, {
 *   leaving: false, version, held, unreachable: [], load,
 * });
 * ```
 */
export function buildHeartbeat(
  membership: Membership,
  extras: HeartbeatExtras,
): Heartbeat {
  membership.selfLeaving = extras.leaving;
  membership.unreachable = new Set(extras.unreachable);
  setHeld(membership, extras.held);
  const entries = [...membership.bars.values()];
  return {
    from: membership.self,
    sentAtMs: membership.nowMs,
    leaving: extras.leaving,
    version: extras.version,
    held: sortBy(extras.held, (entry) => entry.worker),
    unreachable: [...extras.unreachable].sort(),
    workers: knownWorkers(membership, membership.self.zone),
    listedAsOfMs: membership.listedAsOfMs,
    heard: heardMembers(membership)
      .map((member) => holderOf(member.instance))
      .sort(),
    bars: sortBy(
      entries.map((entry) => barOf(membership, entry)),
      (bar) => bar.holder,
    ),
    load: extras.load,
  };
}

function barOf(membership: Membership, entry: BarEntry): Bar {
  const pending = [...membership.held.keys()]
    .filter((worker) => !entry.acknowledged.has(worker))
    .sort();
  const { holder, zone, sinceMs } = entry;
  return { holder, zone, sinceMs, pending };
}

function sortBy<T>(values: T[], key: (value: T) => string): T[] {
  return [...values].sort((a, b) => compareStrings(key(a), key(b)));
}
