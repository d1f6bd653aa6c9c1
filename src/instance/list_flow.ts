/**
 * Reads the platform's instance list and follows its workers.
 *
 * @module
 */
import type { InstanceList } from "../hosts/mod.ts";
import { receiveList } from "../membership/mod.ts";
import type { Flow } from "./flow.ts";
import { applyPlacement } from "./placement_driver.ts";
import { ownWorker } from "./lease_flow.ts";
import { notify, spawn } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { OWNERSHIP_TOPIC } from "./topics.ts";
import { readList, sleep } from "./waits.ts";

/** Delay before the list is read again while it was never read. */
const FIRST_READ_RETRY_MS = 500;

/** Reads the list at intervals for as long as it runs. */
export function* followList(scheduler: Scheduler): Flow<void> {
  let latestMs = 0;
  while (true) {
    const result = yield* readList();
    if (result.isErr() && latestMs === 0) {
      yield* sleep(FIRST_READ_RETRY_MS);
      continue;
    }
    if (result.isOk() && result.value.asOfMs >= latestMs) {
      latestMs = result.value.asOfMs;
      takeList(scheduler, result.value);
    }
    yield* sleep(scheduler.options.listIntervalMs);
  }
}

/** Takes in one reading of the list. A worker that vanished is gone. */
function takeList(scheduler: Scheduler, list: InstanceList): void {
  receiveList(scheduler.membership, list, scheduler.moment.steadyMs);
  const listed = new Set(list.workers.map((worker) => worker.id));
  for (const worker of scheduler.listedWorkers) {
    if (listed.has(worker)) continue;
    scheduler.workers.delete(worker);
    scheduler.goneWorkers.set(worker, scheduler.moment.wallMs);
    note(scheduler, "worker.gone", worker);
  }
  scheduler.listedWorkers = listed;
  const { zone } = scheduler.self;
  for (const { leaving, ...address } of list.workers) {
    if (address.zone !== zone) continue;
    const known = scheduler.workers.get(address.id);
    scheduler.workers.set(address.id, { address, leaving });
    if (known === undefined) {
      spawn(scheduler.runner, ownWorker(scheduler, address.id));
    } else if (leaving && !known.leaving) {
      leaveWorker(scheduler, address.id);
    }
  }
  notify(scheduler.runner, OWNERSHIP_TOPIC);
}

function leaveWorker(scheduler: Scheduler, worker: string): void {
  const held = scheduler.held.get(worker);
  if (held === undefined || held.leaving) return;
  held.leaving = true;
  note(scheduler, "worker.leaving", worker);
  applyPlacement(scheduler, { kind: "workerLeaving", worker });
}
