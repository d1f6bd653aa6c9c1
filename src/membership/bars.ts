import type { Instance } from "../model/mod.ts";
import { type Holder, holderOf } from "./holder.ts";
import type { HeldWorker } from "./held_worker.ts";
import type { Membership } from "./membership.ts";

/**
 * How long a bar is kept. No process that was paused for longer may go on
 * under its old incarnation, and no worker remembers a task for that long.
 */
export const BAR_RETENTION_MS = 86_400_000;

/**
 * Bars an incarnation for good. Barring this instance's own incarnation makes
 * {@linkcode isSelfBarred} true.
 *
 * @example
 * ```ts
 * barHolder(membership, "kigali-2/k3f9", "kigali");
 * ```
 *
 * @param zone the zone of the barred incarnation
 * @param sinceMs when the bar was first made, on the steady clock
 */
export function barHolder(
  membership: Membership,
  holder: Holder,
  zone: string,
  sinceMs: number = membership.nowMs,
): void {
  if (holder === holderOf(membership.self)) {
    membership.selfBarred = true;
    return;
  }
  if (membership.bars.has(holder)) return;
  const acknowledged = new Set<string>();
  const member = membership.members.get(holder);
  const knew = new Set(member?.heartbeat.workers);
  membership.bars.set(holder, { holder, zone, sinceMs, acknowledged, knew });
  membership.members.delete(holder);
}

/** Tells whether this instance bars an incarnation. */
export function isBarred(membership: Membership, holder: Holder): boolean {
  return membership.bars.has(holder);
}

/** Tells whether some peer has barred this instance's own incarnation. */
export function isSelfBarred(membership: Membership): boolean {
  return membership.selfBarred;
}

/**
 * Lists the holders that a renewal has to bar.
 *
 * @example
 * ```ts
 * const barred = barsFor(membership, "worker-7");
 * ```
 *
 * @param worker leaves out the bars that this worker has acknowledged
 */
export function barsFor(membership: Membership, worker?: string): Holder[] {
  const entries = [...membership.bars.values()];
  return entries
    .filter((entry) => !worker || !entry.acknowledged.has(worker))
    .map((entry) => entry.holder)
    .sort();
}

/**
 * Notes that a worker of ours accepted a renewal that carried bars.
 *
 * @example
 * ```ts
 * acknowledgeBars(membership, "worker-7", command.barred);
 * ```
 *
 * @param holders the bars of the renewal that succeeded
 */
export function acknowledgeBars(
  membership: Membership,
  worker: string,
  holders: Holder[],
): void {
  for (const holder of holders) {
    membership.bars.get(holder)?.acknowledged.add(worker);
  }
}

/**
 * Replaces the workers that this instance holds. A worker held under another
 * token than before has to acknowledge every bar again.
 *
 * @example
 * ```ts
 * setHeld(membership, [{ worker: "worker-7", token: 4 }]);
 * ```
 */
export function setHeld(membership: Membership, held: HeldWorker[]): void {
  const next = new Map(held.map((entry) => [entry.worker, entry]));
  for (const [worker, before] of membership.held) {
    if (next.get(worker)?.token === before.token) continue;
    for (const entry of membership.bars.values()) {
      entry.acknowledged.delete(worker);
    }
  }
  membership.held = next;
  if (next.size > 0) membership.everHeld = true;
}

/**
 * Goes on under a new incarnation, after the old one was barred. The old one
 * is barred here too, and nothing is held any more.
 *
 * @example
 * ```ts
 * reincarnate(membership, { ...self, incarnation: newIncarnation() });
 * ```
 */
export function reincarnate(membership: Membership, self: Instance): void {
  const before = membership.self;
  membership.self = self;
  membership.selfBarred = membership.bars.has(holderOf(self));
  barHolder(membership, holderOf(before), before.zone);
  setHeld(membership, []);
  membership.everHeld = false;
}
