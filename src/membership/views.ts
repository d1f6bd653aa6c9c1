import type { Instance } from "../model/mod.ts";
import { type Holder, holderOf } from "./holder.ts";
import type { Member, MemberState } from "./member.ts";
import type { Membership } from "./membership.ts";

/** How many heartbeats of another zone's member may be missed. */
const SILENT_REMOTE_BEATS = 3;

/**
 * Tells how this instance sees an incarnation.
 *
 * @example
 * ```ts
 * if (memberState(membership, holder) === "live") forward(holder);
 * ```
 */
export function memberState(
  membership: Membership,
  holder: Holder,
): MemberState | "unknown" {
  if (holder === holderOf(membership.self)) return ownState(membership);
  if (membership.bars.has(holder)) return "barred";
  const member = membership.members.get(holder);
  if (!member) return "unknown";
  if (membership.latest.get(member.instance.id) !== holder) return "dead";
  if (!isHeard(membership, member)) return "dead";
  return member.heartbeat.leaving ? "leaving" : "live";
}

/**
 * Lists the live members of a zone that are not leaving, this instance
 * included, ordered by id.
 *
 * @example
 * ```ts
 * const peers = membersOf(membership, "kigali");
 * ```
 */
export function membersOf(membership: Membership, zone: string): Instance[] {
  const found: Instance[] = [];
  if (membership.self.zone === zone && ownState(membership) === "live") {
    found.push(membership.self);
  }
  for (const [holder, member] of membership.members) {
    if (member.instance.zone !== zone) continue;
    if (memberState(membership, holder) === "live") found.push(member.instance);
  }
  return found.sort((left, right) => left.id < right.id ? -1 : 1);
}

/**
 * Lists the zones in which at least one member is live, in order.
 *
 * @example
 * ```ts
 * const zones = liveZones(membership);
 * ```
 */
export function liveZones(membership: Membership): string[] {
  const zones = new Set<string>([membership.self.zone]);
  for (const [holder, member] of membership.members) {
    if (memberState(membership, holder) === "live") {
      zones.add(member.instance.zone);
    }
  }
  return [...zones].sort();
}

/** Tells whether a member's own heartbeat arrived within the limit. */
export function isHeard(membership: Membership, member: Member): boolean {
  const { deadAfterMs, remoteBeatMs } = membership.options;
  const silentMs = membership.nowMs - member.silentSinceMs;
  if (member.instance.zone === membership.self.zone) {
    return silentMs < deadAfterMs;
  }
  return silentMs < Math.max(deadAfterMs, remoteBeatMs * SILENT_REMOTE_BEATS);
}

/** Lists the members that are live or leaving, with their last heartbeats. */
export function heardMembers(membership: Membership): Member[] {
  return [...membership.members.values()].filter((member) => {
    const state = memberState(membership, holderOf(member.instance));
    return state === "live" || state === "leaving";
  });
}

/**
 * Collects whom the live peers of the own zone hear themselves, and those
 * peers. A cut between two members alone leaves both of them vouched for.
 */
export function vouchedHolders(membership: Membership): Set<Holder> {
  const vouched = new Set<Holder>();
  for (const { instance, heartbeat } of heardMembers(membership)) {
    if (instance.zone !== membership.self.zone) continue;
    for (const holder of heartbeat.heard) vouched.add(holder);
    vouched.add(holderOf(instance));
  }
  return vouched;
}

function ownState(membership: Membership): MemberState {
  if (membership.selfBarred) return "barred";
  return membership.selfLeaving ? "leaving" : "live";
}
