import type { Manifest } from "../model/mod.ts";
import type { Placement } from "./placement.ts";

/** Forgets what was kept of agreements that are no longer in force. */
export function forgetAgreements(
  placement: Placement,
  manifest: Manifest,
): void {
  const { learned, lanes, used, failedOn } = placement;
  const inForce = new Set(manifest.agreements.map(({ name }) => name));
  for (const name of learned.keys()) {
    if (!inForce.has(name)) learned.delete(name);
  }
  for (const [key, lane] of lanes) {
    if (lane.waiting === 0 && !inForce.has(lane.agreement)) lanes.delete(key);
  }
  for (const [name, { cpuMillis, memoryMb, accelerators }] of used) {
    const isUnused = cpuMillis + memoryMb + accelerators === 0;
    if (isUnused && !inForce.has(name)) used.delete(name);
  }
  failedOn.clear();
}
