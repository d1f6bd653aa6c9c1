/**
 * Workers that refused a start for want of room: their books are ahead of
 * ours, so they get nothing until their next report has surely come.
 *
 * @module
 */
import type { Placement } from "./placement.ts";
import { refreshLeaf } from "./room.ts";
import type { WorkerState } from "./worker_state.ts";

const PAUSE_MS = 500;

/** Gives a worker nothing for a moment. */
export function pauseWorker(
  placement: Placement,
  worker: WorkerState,
  atMs: number,
): void {
  worker.paused = true;
  placement.paused.set(worker, atMs + PAUSE_MS);
}

/** Ends the pauses whose time is over. */
export function endPauses(placement: Placement, atMs: number): void {
  for (const [worker, untilMs] of placement.paused) {
    if (untilMs > atMs) continue;
    worker.paused = false;
    placement.paused.delete(worker);
    refreshLeaf(placement, worker);
  }
}
