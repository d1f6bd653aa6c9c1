/**
 * The worker list of the simulation. It shows an entry some time after its worker
 * has written it, so that an incarnation may report before its first entry, or
 * after it, and the last entry of the one before may come late.
 *
 * @module
 */
import type { WorkerListing } from "../worker_listing.ts";
import { listing } from "./domain_bench.ts";
import { TASK_DEMAND } from "./owner_model_capacity.ts";
import type { Model, SimulatedWorker } from "./owner_model_state.ts";

/** The longest time until the list shows an entry, in milliseconds. */
export const MAX_LISTING_DELAY_MS = 1_500;

/** The entry of a worker that the list shows, and later ones. */
export type SimulatedListing = {
  shown: WorkerListing;
  /** Entries that it does not show yet. */
  written: { entry: WorkerListing; dueAtMs: number }[];
};

/** Creates the entry of a worker, as it writes it now. */
export function entryOf(
  { worker: { id, bornMs }, kind, capacity: { tasks } }: Pick<
    SimulatedWorker,
    "worker" | "kind" | "capacity"
  >,
): WorkerListing {
  const { capacity } = listing(id);
  const cpuMillis = tasks * TASK_DEMAND.cpuMillis;
  const labels = [kind, "r1"];
  return listing(id, { bornMs, labels, capacity: { ...capacity, cpuMillis } });
}

/** Has a worker write its entry, which the list shows after a delay. */
export function writeEntry(
  { bench, hasChangingKinds }: Model,
  simulated: SimulatedWorker,
  delayMs: number,
): void {
  const entry = entryOf(simulated);
  const { listing } = simulated;
  // The last write of the incarnation before may come later than this one.
  listing.written = listing.written.filter((known) =>
    hasChangingKinds && known.entry.bornMs !== entry.bornMs
  );
  listing.written.push({ entry, dueAtMs: bench.nowMs + delayMs });
  if (!hasChangingKinds) return;
  // It is followed by a regular one.
  listing.written.push({ entry, dueAtMs: bench.nowMs + MAX_LISTING_DELAY_MS });
}

/** Has a worker that has started again write its first entry. */
export function writeFirstEntry(
  model: Model,
  simulated: SimulatedWorker,
): void {
  const delayMs = model.hasChangingKinds
    ? model.random.integer(0, MAX_LISTING_DELAY_MS)
    : 0;
  writeEntry(model, simulated, delayMs);
}

/** Updates what the list shows; true if anything has changed. */
export function updateShownEntries({ workers, bench }: Model): boolean {
  let hasChanged = false;
  for (const { listing } of workers.values()) {
    const due = listing.written.filter(({ dueAtMs }) => dueAtMs <= bench.nowMs)
      .sort((left, right) => left.dueAtMs - right.dueAtMs);
    const last = due.at(-1);
    if (last === undefined) continue;
    listing.written = listing.written.filter((known) => !due.includes(known));
    listing.shown = last.entry;
    hasChanged = true;
  }
  return hasChanged;
}
