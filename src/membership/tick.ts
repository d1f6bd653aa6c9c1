import type { Membership } from "./membership.ts";

/** Moves the membership's clock on; a reading that goes back is ignored. */
export function tick(membership: Membership, atMs: number): void {
  membership.nowMs = Math.max(membership.nowMs, atMs);
}
