import type { Instance } from "../model/mod.ts";
import type { Holder } from "./holder.ts";
import type { Load } from "./load.ts";
import type { Membership } from "./membership.ts";
import { heardMembers, memberState } from "./views.ts";

/**
 * Returns the address of a peer that answers: live, or leaving.
 *
 * @example
 * ```ts
 * const home = memberOf(membership, holder);
 * if (home !== undefined) forward(home.url);
 * ```
 *
 * @returns undefined for this instance itself and for peers not heard
 */
export function memberOf(
  membership: Membership,
  holder: Holder,
): Instance | undefined {
  const state = memberState(membership, holder);
  if (state !== "live" && state !== "leaving") return undefined;
  return membership.members.get(holder)?.instance;
}

/**
 * Returns what a peer's latest heartbeat said of its load.
 *
 * @example
 * ```ts
 * const load = loadOf(membership, holderOf(peer));
 * ```
 */
export function loadOf(
  membership: Membership,
  holder: Holder,
): Load | undefined {
  return membership.members.get(holder)?.heartbeat.load;
}

/**
 * Tells whether this instance has, or may have, a peer in its zone: one was
 * heard, barred or listed.
 *
 * @example
 * ```ts
 * if (!hasZonePeers(membership)) ownEveryWorker();
 * ```
 */
export function hasZonePeers(membership: Membership): boolean {
  return zonePeerIds(membership, membership.self.zone).size > 0;
}

/**
 * Tells whether no other instance of a zone can have taken a worker unseen:
 * each peer was heard after a moment, or has left the instance list.
 *
 * @example
 * ```ts
 * if (othersRuledOut(membership, "kigali", lapsedAtMs)) runAgain(task);
 * ```
 *
 * @param sinceMs steady clock, in milliseconds
 */
export function othersRuledOut(
  membership: Membership,
  zone: string,
  sinceMs: number,
): boolean {
  const heard = new Map(
    heardMembers(membership).map((
      member,
    ) => [member.instance.id, member.heardAtMs]),
  );
  const listed = new Set(membership.listed.map((instance) => instance.id));
  for (const id of zonePeerIds(membership, zone)) {
    const heardAtMs = heard.get(id);
    if (heardAtMs !== undefined && heardAtMs > sinceMs) continue;
    if (listed.has(id)) return false;
    if (heardAtMs !== undefined) return false;
  }
  return true;
}

/** Collects the ids of all other instances ever known in a zone. */
function zonePeerIds(membership: Membership, zone: string): Set<string> {
  const ids = new Set<string>();
  for (const member of membership.members.values()) {
    if (member.instance.zone === zone) ids.add(member.instance.id);
  }
  for (const bar of membership.bars.values()) {
    if (bar.zone === zone) ids.add(bar.holder.split("/")[0] ?? "");
  }
  for (const listed of membership.listed) {
    if (listed.zone === zone) ids.add(listed.id);
  }
  ids.delete(membership.self.id);
  return ids;
}
