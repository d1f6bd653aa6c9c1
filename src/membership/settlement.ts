import { isBarred, isSelfBarred } from "./bars.ts";
import type { Holder } from "./holder.ts";
import type { Member } from "./member.ts";
import type { Membership } from "./membership.ts";
import { heardMembers } from "./views.ts";

/**
 * Tells whether an incarnation can surely start nothing any more, neither on
 * a worker nor through a peer that took over its requests:
 *
 * - this instance bars it, and knows at least one worker of each zone;
 * - every known worker of the zones is held by a live member, or by this
 *   instance, and has acknowledged the bar;
 * - every member heard in the zones bars it, and every other incarnation that
 *   is barred has its bar acknowledged by all those workers too;
 * - no instance is listed in the zones of which nothing was ever heard.
 *
 * Once found true, it stays true: what comes up later is kept from the
 * incarnation by {@linkcode isShared}.
 *
 * @example
 * ```ts
 * if (isSettled(membership, holder, ["kigali"])) answerDidNotRun();
 * ```
 *
 * @param zones every zone in which the incarnation could act
 */
export function isSettled(
  membership: Membership,
  holder: Holder,
  zones: string[],
): boolean {
  if (!isBarred(membership, holder) || isSelfBarred(membership)) return false;
  return zones.every((zone) => isSettledIn(membership, holder, zone));
}

/** Joins a holder and a zone to a key of the settled incarnations. */
export function settlementKey(holder: Holder, zone: string): string {
  return `${holder} ${zone}`;
}

/**
 * Lists the barred incarnations of a zone that are not settled in it, in
 * order.
 *
 * @example
 * ```ts
 * const waiting = unsettledHolders(membership, "kigali");
 * ```
 */
export function unsettledHolders(
  membership: Membership,
  zone: string,
): Holder[] {
  return [...membership.bars.values()]
    .filter((entry) => entry.zone === zone)
    .map((entry) => entry.holder)
    .filter((holder) => !isSettled(membership, holder, [zone]))
    .sort();
}

/**
 * Lists the workers of a zone that this instance or any member knows, in
 * order; a worker that a live member holds counts though no list shows it.
 *
 * @example
 * ```ts
 * const workers = knownWorkers(membership, "kigali");
 * ```
 */
export function knownWorkers(membership: Membership, zone: string): string[] {
  const found = new Set<string>();
  for (const worker of membership.workers.values()) {
    if (worker.zone === zone) found.add(worker.id);
  }
  if (membership.self.zone === zone) {
    for (const worker of membership.held.keys()) found.add(worker);
  }
  for (const member of heardMembers(membership)) {
    if (member.instance.zone !== zone) continue;
    for (const entry of member.heartbeat.held) found.add(entry.worker);
  }
  return [...found].sort();
}

/**
 * Lists the workers of a zone that this instance knows or a live member
 * reports, in order. A member with an older list may still report a worker
 * that has left; who wants to know what ran has to wait until that member has
 * noticed, since nobody else may have seen the worker go.
 *
 * @example
 * ```ts
 * const isWitnessed = reportedWorkers(membership, "kigali").every(isHeld);
 * ```
 */
export function reportedWorkers(
  membership: Membership,
  zone: string,
): string[] {
  const found = new Set(knownWorkers(membership, zone));
  for (const { instance, heartbeat } of heardMembers(membership)) {
    if (instance.zone !== zone) continue;
    for (const worker of heartbeat.workers) found.add(worker);
  }
  return [...found].sort();
}

function isSettledIn(
  membership: Membership,
  holder: Holder,
  zone: string,
): boolean {
  const key = settlementKey(holder, zone);
  if (membership.settled.has(key)) return true;
  const settled = allWorkersBar(membership, holder, zone) &&
    allMembersBar(membership, holder, zone) &&
    allBarredPowerless(membership, zone) &&
    allListedKnown(membership, zone);
  if (settled) membership.settled.add(key);
  return settled;
}

function allWorkersBar(
  membership: Membership,
  holder: Holder,
  zone: string,
): boolean {
  const known = knownWorkers(membership, zone);
  if (known.length === 0) return false;
  const acknowledged = acknowledgedWorkers(membership, holder);
  return known.every((worker) => acknowledged.has(worker));
}

/** Collects the workers that are held now and have acknowledged a bar. */
function acknowledgedWorkers(
  membership: Membership,
  holder: Holder,
): Set<string> {
  const found = new Set<string>();
  const own = membership.bars.get(holder);
  for (const worker of membership.held.keys()) {
    if (own?.acknowledged.has(worker)) found.add(worker);
  }
  for (const { heartbeat } of heardMembers(membership)) {
    const bar = heartbeat.bars.find((entry) => entry.holder === holder);
    if (!bar) continue;
    const pending = new Set(bar.pending);
    for (const { worker } of heartbeat.held) {
      if (!pending.has(worker)) found.add(worker);
    }
  }
  return found;
}

function allMembersBar(
  membership: Membership,
  holder: Holder,
  zone: string,
): boolean {
  return [...membership.members.values()]
    .filter((member) => member.instance.zone === zone)
    .every((member) => bars(member, holder));
}

function bars(member: Member, holder: Holder): boolean {
  return member.heartbeat.bars.some((bar) => bar.holder === holder);
}

/**
 * Tells whether every barred incarnation of a zone is barred at every worker.
 * One that is not could still run requests that moved to it.
 */
function allBarredPowerless(membership: Membership, zone: string): boolean {
  return [...membership.bars.values()]
    .filter((entry) => entry.zone === zone)
    .filter((entry) =>
      !membership.settled.has(settlementKey(entry.holder, zone))
    )
    .every((entry) => allWorkersBar(membership, entry.holder, zone));
}

function allListedKnown(membership: Membership, zone: string): boolean {
  return membership.listed.every((listed) =>
    listed.zone !== zone || membership.heardOf.has(listed.id)
  );
}
