import type { Instance } from "../model/mod.ts";
import { BAR_RETENTION_MS, barHolder, isBarred } from "./bars.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { holderOf, instanceIdOf } from "./holder.ts";
import type { Membership } from "./membership.ts";
import { tick } from "./tick.ts";

/**
 * Takes in a peer's heartbeat. Bars and workers that it names are taken over
 * whoever sent it, but a barred incarnation does not become live.
 *
 * @example
 * ```ts
 * receiveHeartbeat(membership, heartbeat, clock.steadyMs());
 * ```
 *
 * @param atMs arrival on the steady clock
 */
export function receiveHeartbeat(
  membership: Membership,
  heartbeat: Heartbeat,
  atMs: number,
): void {
  tick(membership, atMs);
  addBars(membership, heartbeat);
  addWorkers(membership, heartbeat);
  if (heartbeat.from.id === membership.self.id) return;
  const holder = holderOf(heartbeat.from);
  if (isBarred(membership, holder)) return;
  const before = membership.members.get(holder);
  if (before && before.heartbeat.sentAtMs > heartbeat.sentAtMs) return;
  membership.members.set(holder, {
    instance: heartbeat.from,
    heartbeat,
    heardAtMs: membership.nowMs,
    silentSinceMs: membership.nowMs,
  });
  membership.latest.set(heartbeat.from.id, holder);
  noteExchange(membership, heartbeat);
  membership.heardOf.add(heartbeat.from.id);
  if (!before) supersede(membership, heartbeat.from);
}

/**
 * Puts off the next heartbeat to a peer that hears this instance: each call is
 * answered with a heartbeat, so one call serves both.
 */
function noteExchange(membership: Membership, heartbeat: Heartbeat): void {
  if (!heartbeat.heard.includes(holderOf(membership.self))) return;
  membership.beatenAtMs.set(heartbeat.from.url, membership.nowMs);
}

/** Bars the incarnations of the own zone that a new one replaces. */
function supersede(membership: Membership, instance: Instance): void {
  if (instance.zone !== membership.self.zone) return;
  for (const [holder, member] of membership.members) {
    if (member.instance.id !== instance.id) continue;
    if (member.instance.incarnation === instance.incarnation) continue;
    barHolder(membership, holder, instance.zone);
  }
}

function addBars(membership: Membership, heartbeat: Heartbeat): void {
  for (const bar of heartbeat.bars) {
    const ageMs = Math.max(0, heartbeat.sentAtMs - bar.sinceMs);
    if (ageMs >= BAR_RETENTION_MS) continue;
    barHolder(membership, bar.holder, bar.zone, membership.nowMs - ageMs);
    membership.heardOf.add(instanceIdOf(bar.holder));
  }
}

function addWorkers(membership: Membership, heartbeat: Heartbeat): void {
  const zone = heartbeat.from.zone;
  for (const id of heartbeat.workers) {
    const known = membership.workers.get(id);
    if (known) {
      known.listedAsOfMs = Math.max(known.listedAsOfMs, heartbeat.listedAsOfMs);
      continue;
    }
    if (heartbeat.listedAsOfMs < membership.listedAsOfMs) continue;
    membership.workers.set(id, {
      id,
      zone,
      leaving: false,
      knownSinceMs: membership.nowMs,
      listedAsOfMs: heartbeat.listedAsOfMs,
    });
  }
}
