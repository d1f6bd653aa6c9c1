import { isSelfBarred } from "./bars.ts";
import { instanceIdOf } from "./holder.ts";
import type { Member } from "./member.ts";
import type { BarEntry, KnownWorker, Membership } from "./membership.ts";
import { isSettled } from "./settlement.ts";
import { heardMembers } from "./views.ts";

/**
 * Tells whether a worker of the own zone may be used for the first time: every
 * other incarnation of the zone that could still judge this one knows the
 * worker. Otherwise a peer with an older list could find this incarnation
 * settled, while it still starts tasks on a worker that the peer has never
 * heard of.
 *
 * The answer stays true once it was true. A worker that a live member holds
 * counts, and so does one marked by {@linkcode markUsed}, since its first
 * holder has checked the same.
 *
 * @example
 * ```ts
 * if (isShared(membership, worker.id)) acquire(worker);
 * ```
 */
export function isShared(membership: Membership, workerId: string): boolean {
  if (membership.shared.has(workerId)) return true;
  const shared = isHeldByMember(membership, workerId) ||
    allJudgesKnow(membership, workerId);
  if (shared) membership.shared.add(workerId);
  return shared;
}

/**
 * Notes that a worker was held before, by whomever: its token is above 0.
 *
 * @example
 * ```ts
 * if (currentLease.token > 0) markUsed(membership, worker.id);
 * ```
 */
export function markUsed(membership: Membership, workerId: string): void {
  membership.shared.add(workerId);
}

/**
 * Tells whether a worker that has forgotten its bars may be used: no instance
 * of the zone can have judged this incarnation unheard. Each one was heard
 * since a moment without barring us, or is gone, or is refused by another
 * worker that obeys us.
 *
 * @example
 * ```ts
 * if (isConfirmedSince(membership, worker.id, acquiredAtMs)) use(worker);
 * ```
 *
 * @param sinceMs when the worker was acquired, on the steady clock
 */
export function isConfirmedSince(
  membership: Membership,
  workerId: string,
  sinceMs: number,
): boolean {
  if (isSelfBarred(membership)) return false;
  const known = membership.workers.get(workerId);
  const members = zoneMembers(membership);
  const heard = new Set(
    members.filter((member) => member.heardAtMs > sinceMs)
      .map((member) => member.instance.id),
  );
  const listed = new Set(membership.listed.map((instance) => instance.id));
  const isHarmless = (id: string) => heard.has(id) || !listed.has(id);
  return members.every((member) => isHarmless(member.instance.id)) &&
    barredInZone(membership).every((entry) =>
      isHarmless(instanceIdOf(entry.holder)) ||
      obeysElsewhere(membership, entry, workerId)
    ) &&
    (noListedUnheard(membership) ||
      (known !== undefined && isOld(membership, known.knownSinceMs)));
}

/** Tells whether another worker obeys us and refuses a barred incarnation. */
function obeysElsewhere(
  membership: Membership,
  entry: BarEntry,
  workerId: string,
): boolean {
  return [...membership.held.keys()].some((held) =>
    held !== workerId && membership.shared.has(held) &&
    entry.acknowledged.has(held)
  );
}

function isHeldByMember(membership: Membership, workerId: string): boolean {
  return heardMembers(membership).some((member) =>
    member.heartbeat.held.some((entry) => entry.worker === workerId)
  );
}

function allJudgesKnow(membership: Membership, workerId: string): boolean {
  const known = membership.workers.get(workerId);
  if (!known) return false;
  const { knownSinceMs } = known;
  return zoneMembers(membership).every((member) =>
    member.heartbeat.workers.includes(workerId)
  ) &&
    barredInZone(membership).every((entry) =>
      isDisarmed(membership, entry, known)
    ) &&
    (noListedUnheard(membership) || isOld(membership, knownSinceMs));
}

/**
 * Tells whether a barred incarnation cannot find this one settled without the
 * given worker: it is settled itself, or it knew the worker, or another worker
 * that it knows obeys this incarnation and refuses that one. Where nothing is
 * held yet and nothing is known of that incarnation, time has to do, or else
 * no worker of a new zone could ever be used.
 */
function isDisarmed(
  membership: Membership,
  entry: BarEntry,
  worker: KnownWorker,
): boolean {
  const zone = membership.self.zone;
  if (entry.knew.has(worker.id)) return true;
  if (isSettled(membership, entry.holder, [zone])) return true;
  if (!membership.everHeld && entry.knew.size === 0) {
    return isOld(membership, worker.knownSinceMs);
  }
  return [...membership.held.keys()].some((held) =>
    membership.shared.has(held) && entry.acknowledged.has(held)
  );
}

function zoneMembers(membership: Membership): Member[] {
  return [...membership.members.values()].filter((member) =>
    member.instance.zone === membership.self.zone
  );
}

function barredInZone(membership: Membership): BarEntry[] {
  return [...membership.bars.values()]
    .filter((entry) => entry.zone === membership.self.zone);
}

function noListedUnheard(membership: Membership): boolean {
  return membership.listed.every((listed) =>
    listed.zone !== membership.self.zone || membership.heardOf.has(listed.id)
  );
}

function isOld(membership: Membership, sinceMs: number): boolean {
  return membership.nowMs - sinceMs >= membership.options.deadAfterMs;
}
