import { fitsInto, subtractResources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { stopTask } from "./stop_task.ts";

/**
 * Stops the latest starts on a worker that no longer has the capacity for all
 * of its tasks, as long as they are not known to have arrived.
 */
export function stopExcessStarts(domain: Domain, worker: DomainWorker): void {
  let { used } = worker;
  for (
    const { run, index, allocated } of [...worker.placed.values()].reverse()
  ) {
    if (fitsInto(used, worker.capacity)) return;
    const task = run.tasks[index];
    if (task?.kind !== "placed" || task.worker !== worker.id) continue;
    if (task.phase.kind !== "starting") continue;
    stopTask(domain, run, index);
    used = subtractResources(used, allocated);
  }
}
