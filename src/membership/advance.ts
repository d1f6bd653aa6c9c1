import type { Instance } from "../model/mod.ts";
import { BAR_RETENTION_MS, barHolder } from "./bars.ts";
import type { Membership } from "./membership.ts";
import { settlementKey } from "./settlement.ts";
import { tick } from "./tick.ts";
import { memberState, vouchedHolders } from "./views.ts";

/** A gap between two calls of this part of the limit counts as a pause. */
const PAUSE_FACTOR = 0.5;

/**
 * Moves the clock on, and bars the members of the own zone that neither this
 * instance nor a live peer of the zone has heard for too long. After a pause
 * of this process they get that time anew. Members of other zones only count
 * as dead: their own zone decides.
 *
 * @example
 * ```ts
 * const { barred } = advance(membership, clock.steadyMs());
 * ```
 *
 * @param atMs the steady clock
 * @returns the members that were barred by this call
 */
export function advance(
  membership: Membership,
  atMs: number,
): { barred: Instance[] } {
  tick(membership, atMs);
  if (wasPaused(membership)) excuseSilence(membership);
  membership.advancedAtMs = membership.nowMs;
  forgetOldBars(membership);
  const vouched = vouchedHolders(membership);
  const barred: Instance[] = [];
  for (const [holder, member] of membership.members) {
    if (member.instance.zone !== membership.self.zone) continue;
    if (memberState(membership, holder) !== "dead") continue;
    if (vouched.has(holder)) continue;
    barHolder(membership, holder, member.instance.zone);
    barred.push(member.instance);
  }
  return { barred };
}

/** Tells whether this process itself has stood still since the last call. */
function wasPaused(membership: Membership): boolean {
  const { advancedAtMs, nowMs, options } = membership;
  if (advancedAtMs === undefined) return false;
  return nowMs - advancedAtMs > options.deadAfterMs * PAUSE_FACTOR;
}

/**
 * What a paused process did not hear says nothing of its peers. They were not
 * heard either, so the time of the last heartbeat stays.
 */
function excuseSilence(membership: Membership): void {
  for (const member of membership.members.values()) {
    member.silentSinceMs = membership.nowMs;
  }
}

function forgetOldBars(membership: Membership): void {
  for (const [holder, entry] of membership.bars) {
    if (membership.nowMs - entry.sinceMs < BAR_RETENTION_MS) continue;
    membership.bars.delete(holder);
    membership.settled.delete(settlementKey(holder, entry.zone));
  }
}
