import type { Instance } from "../model/mod.ts";
import { holderOf } from "./holder.ts";
import type { Member } from "./member.ts";
import type { Membership } from "./membership.ts";
import { tick } from "./tick.ts";
import { memberState } from "./views.ts";

/**
 * By how much the peer with the higher id waits longer, so that one of two
 * peers calls and the other answers.
 */
const SECOND_CALLER_FACTOR = 1.5;

/** An address that is due for a heartbeat. */
export type PeerToBeat = {
  url: string;
  /** The incarnation last heard from this address. */
  known?: Instance;
};

/**
 * Lists the addresses that are due for a heartbeat, and notes them as sent.
 * Listed addresses, seeds and members that fell silent are included, so that
 * a healed cut is noticed.
 *
 * @example
 * ```ts
 * for (const peer of peersToBeat(membership, nowMs)) send(peer.url);
 * ```
 *
 * @param atMs the steady clock
 */
export function peersToBeat(
  membership: Membership,
  atMs: number,
): PeerToBeat[] {
  tick(membership, atMs);
  const due: PeerToBeat[] = [];
  for (const address of addresses(membership).values()) {
    if (!isDue(membership, address)) continue;
    membership.beatenAtMs.set(address.url, membership.nowMs);
    due.push(
      address.known
        ? { url: address.url, known: address.known }
        : { url: address.url },
    );
  }
  return due.sort((left, right) => left.url < right.url ? -1 : 1);
}

type Address = { url: string; inZone: boolean; known?: Instance };

function isDue(membership: Membership, address: Address): boolean {
  const { zoneBeatMs, remoteBeatMs } = membership.options;
  const beatMs = address.inZone ? zoneBeatMs : remoteBeatMs;
  const isSecond = address.known && address.known.id < membership.self.id;
  const periodMs = isSecond ? beatMs * SECOND_CALLER_FACTOR : beatMs;
  const lastMs = membership.beatenAtMs.get(address.url);
  return lastMs === undefined || membership.nowMs - lastMs >= periodMs;
}

function addresses(membership: Membership): Map<string, Address> {
  const found = new Map<string, Address>();
  const ownZone = membership.self.zone;
  for (const url of membership.options.seeds ?? []) {
    found.set(url, { url, inZone: false });
  }
  for (const listed of membership.listed) {
    found.set(listed.url, { url: listed.url, inZone: listed.zone === ownZone });
  }
  for (const member of reachableMembers(membership)) {
    const { url, zone } = member.instance;
    found.set(url, { url, inZone: zone === ownZone, known: member.instance });
  }
  found.delete(membership.self.url);
  return found;
}

/** Members worth a heartbeat; a barred one only while the list shows it. */
function reachableMembers(membership: Membership): Member[] {
  return [...membership.members.values()].filter((member) =>
    memberState(membership, holderOf(member.instance)) !== "barred"
  );
}
