import type { Domain } from "./domain.ts";
import { dominantShare } from "./reservations.ts";
import { reservationOf } from "./placed.ts";

/**
 * Works out which workers waiting steps depend on, so that work with a choice
 * leaves them to work without one.
 */
export function updatePressure(domain: Domain): void {
  for (const worker of domain.workers.values()) worker.demandPressure = 0;
  for (const run of domain.waitingSteps) {
    const { allowed } = run.advice;
    if (allowed.size === 0) continue;
    const demand = reservationOf(run.step);
    for (const id of allowed.keys()) {
      const worker = domain.workers.get(id);
      if (worker === undefined) continue;
      const share = dominantShare(demand, worker.capacity);
      worker.demandPressure += run.waitingCount * share / allowed.size;
    }
  }
}
