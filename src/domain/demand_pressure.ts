import type { Domain } from "./domain.ts";
import { dominantShare } from "./reservations.ts";
import { allocationOf } from "./task_placement.ts";

/**
 * Recomputes the demand pressure of each worker: the demand of waiting steps,
 * divided among the workers that each step may use. Steps that may run elsewhere
 * avoid workers of high pressure and leave them to steps with few alternatives.
 */
export function updateDemandPressure(domain: Domain): void {
  for (const worker of domain.workers.values()) worker.demandPressure = 0;
  for (const run of domain.waitingSteps) {
    const { allowed } = run.advice;
    if (allowed.size === 0) continue;
    const demand = allocationOf(run.step);
    for (const id of allowed.keys()) {
      const worker = domain.workers.get(id);
      if (worker === undefined) continue;
      const share = dominantShare(demand, worker.capacity);
      worker.demandPressure += run.waitingCount * share / allowed.size;
    }
  }
}
