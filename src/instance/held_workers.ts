/**
 * The workers that this instance holds: what follows when one is taken or
 * lost.
 *
 * @module
 */
import type { Acquisition, TaskRecord } from "../model/mod.ts";
import type { WorkerLoss } from "../placement/mod.ts";
import { type Holder, setHeld } from "../membership/mod.ts";
import type { HeldWorker } from "./held_worker.ts";
import { applyPlacement } from "./placement_driver.ts";
import { reportForeignRecord } from "./report_flow.ts";
import { resolveUnremembered } from "./unremembered.ts";
import { applyRecord, seenAt } from "./task_record.ts";
import { notify } from "./runner.ts";
import { type KnownWorker, note, type Scheduler } from "./scheduler.ts";
import { OWNERSHIP_TOPIC } from "./topics.ts";

/**
 * Takes in a worker whose lease was acquired, with all it runs and remembers.
 *
 * @param sentAtMs when the acquisition was sent (steady clock, ms)
 */
export function takeWorker(
  scheduler: Scheduler,
  known: KnownWorker,
  acquisition: Acquisition,
  holder: Holder,
  sentAtMs: number,
): HeldWorker {
  const worker = known.address.id;
  const held: HeldWorker = {
    address: known.address,
    capacity: acquisition.capacity,
    holder,
    token: acquisition.token,
    boot: acquisition.boot,
    rememberedSinceMs: acquisition.rememberedSinceMs,
    leaseMs: acquisition.leaseMs,
    validUntilMs: sentAtMs + acquisition.leaseMs,
    lapsesAtMs: scheduler.moment.steadyMs + acquisition.leaseMs,
    lastEvent: acquisition.lastEvent,
    records: new Map(),
    reachable: true,
    leaving: known.leaving,
  };
  for (const record of acquisition.records) {
    held.records.set(record.task.id, record);
  }
  scheduler.held.set(worker, held);
  setHeld(scheduler.membership, heldLeases(scheduler));
  note(scheduler, "worker.acquired", worker, `token ${held.token}`);
  applyPlacement(scheduler, {
    kind: "workerJoined",
    worker: held.address,
    capacity: held.capacity,
    token: held.token,
    records: acquisition.records,
  });
  if (held.leaving) {
    applyPlacement(scheduler, { kind: "workerLeaving", worker });
  }
  for (const record of acquisition.records) {
    applyRecord(scheduler, seenAt(held, record));
  }
  resolveFromRecords(scheduler, held);
  return held;
}

/** Lists the leases that this instance holds. */
export function heldLeases(
  scheduler: Scheduler,
): { worker: string; token: number }[] {
  return [...scheduler.held.values()].map(({ address, token }) => ({
    worker: address.id,
    token,
  }));
}

/** Forgets a worker; what it ran for us is now away. */
export function loseWorker(
  scheduler: Scheduler,
  held: HeldWorker,
  loss: WorkerLoss,
): void {
  const worker = held.address.id;
  if (scheduler.held.get(worker) !== held) return;
  scheduler.held.delete(worker);
  setHeld(scheduler.membership, heldLeases(scheduler));
  note(scheduler, "worker.lost", worker, loss);
  for (const entry of scheduler.requests.values()) {
    for (const task of entry.tasks.values()) {
      const { progress } = task;
      if (progress.kind !== "starting" && progress.kind !== "running") continue;
      if (progress.worker !== worker) continue;
      task.progress = {
        kind: "away",
        worker,
        token: held.token,
        boot: held.boot,
        sinceMs: scheduler.moment.steadyMs,
        lapsesAtMs: held.lapsesAtMs,
        seen: progress.kind === "running",
      };
    }
  }
  applyPlacement(scheduler, { kind: "workerLost", worker, loss });
  notify(scheduler.runner, OWNERSHIP_TOPIC);
}

/** Takes in a record that changed on a worker we hold. */
export function takeRecord(
  scheduler: Scheduler,
  held: HeldWorker,
  record: TaskRecord,
): void {
  const worker = held.address.id;
  held.records.set(record.task.id, record);
  applyPlacement(scheduler, { kind: "taskChanged", worker, record });
  applyRecord(scheduler, seenAt(held, record));
  reportForeignRecord(scheduler, held, record);
}

/** Marks whether a held worker answers, for placement and for peers. */
export function setReachable(
  scheduler: Scheduler,
  held: HeldWorker,
  reachable: boolean,
): void {
  if (held.reachable === reachable) return;
  held.reachable = reachable;
  const worker = held.address.id;
  note(scheduler, reachable ? "worker.reached" : "worker.silent", worker);
  applyPlacement(scheduler, { kind: "workerReachable", worker, reachable });
}

/**
 * Decides what became of our tasks that were sent to this worker under an
 * earlier token: the worker remembers them, or they never started there.
 */
function resolveFromRecords(scheduler: Scheduler, held: HeldWorker): void {
  for (const entry of scheduler.requests.values()) {
    for (const task of entry.tasks.values()) {
      const { progress } = task;
      if (progress.kind !== "away") continue;
      if (progress.worker !== held.address.id) continue;
      if (held.records.has(task.task.id)) continue;
      resolveUnremembered(scheduler, entry, task, held);
    }
  }
}
