import type { InstanceList, ListedWorker } from "../hosts/mod.ts";
import type { Membership } from "./membership.ts";
import { tick } from "./tick.ts";

/**
 * Takes in the platform's instance list. It adds addresses to contact and
 * workers; it is never evidence that an instance lives or is dead. A worker
 * that a newer list no longer shows is forgotten.
 *
 * @example
 * ```ts
 * receiveList(membership, list, clock.steadyMs());
 * ```
 *
 * @param atMs arrival on the steady clock
 */
export function receiveList(
  membership: Membership,
  list: InstanceList,
  atMs: number,
): void {
  tick(membership, atMs);
  if (list.asOfMs <= membership.listedAsOfMs) return;
  membership.listedAsOfMs = list.asOfMs;
  membership.listed = list.instances;
  for (const worker of list.workers) addWorker(membership, worker, list.asOfMs);
  for (const [id, worker] of membership.workers) {
    if (worker.listedAsOfMs >= list.asOfMs) continue;
    membership.workers.delete(id);
    membership.shared.delete(id);
  }
}

function addWorker(
  membership: Membership,
  worker: ListedWorker,
  asOfMs: number,
): void {
  const known = membership.workers.get(worker.id);
  membership.workers.set(worker.id, {
    id: worker.id,
    zone: worker.zone,
    knownSinceMs: known?.knownSinceMs ?? membership.nowMs,
    leaving: worker.leaving || (known?.leaving ?? false),
    listedAsOfMs: Math.max(asOfMs, known?.listedAsOfMs ?? asOfMs),
  });
}
