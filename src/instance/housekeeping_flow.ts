/**
 * Forgets what nobody asks for any more, and lets the placement core look at
 * the time.
 *
 * @module
 */
import { endedOf } from "../log_state/mod.ts";
import { heardMembers, knownWorkers } from "../membership/mod.ts";
import type { Flow } from "./flow.ts";
import { zonesInReach } from "./search.ts";
import { applyPlacement } from "./placement_driver.ts";
import { splitRequestId } from "./request_ids.ts";
import type { RequestEntry } from "./request_entry.ts";
import type { Scheduler } from "./scheduler.ts";
import { RECORD_RETENTION_MS } from "./unremembered.ts";
import { sleep } from "./waits.ts";

/** How often the placement core looks at the time. */
const PLACEMENT_TICK_MS = 100;
/** How often the placement core is told of the workers of peers. */
const PEERS_INTERVAL_MS = 1_000;
/** How often old entries are looked for. */
const FORGET_INTERVAL_MS = 10_000;
/** How long a refused call may have a copy on its way. */
const REFUSAL_RETENTION_MS = 60_000;
/** How long it is remembered that a worker vanished. */
const GONE_RETENTION_MS = 86_400_000;

/** Gives the placement core the time, for as long as it runs. */
export function* tickPlacement(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(PLACEMENT_TICK_MS);
    applyPlacement(scheduler, { kind: "ticked" });
  }
}

/**
 * Tells the placement core which workers the peers hold, so that it refuses
 * what can never run. It is told only while every known worker is held, since
 * the capacity of the others is not known.
 */
export function* tellOfPeers(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(PEERS_INTERVAL_MS);
    const { membership } = scheduler;
    const zones = zonesInReach(scheduler);
    const shapes = heardMembers(membership)
      .filter((member) => zones.includes(member.instance.zone))
      .flatMap((member) => member.heartbeat.load.shapes);
    const known = zones.flatMap((zone) => knownWorkers(membership, zone));
    const held = shapes.reduce(
      (sum, shape) => sum + shape.count,
      scheduler.held.size,
    );
    if (known.length === 0 || held < known.length) continue;
    applyPlacement(scheduler, { kind: "peersKnown", shapes });
  }
}

/** Forgets old entries at intervals, for as long as it runs. */
export function* forgetOld(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(FORGET_INTERVAL_MS);
    forgetRequests(scheduler);
    forgetRefusals(scheduler);
    forgetRecords(scheduler);
    forgetGoneWorkers(scheduler);
  }
}

function forgetRequests(scheduler: Scheduler): void {
  const { outcomeRetentionMs } = scheduler.options;
  const oldestMs = scheduler.moment.steadyMs - outcomeRetentionMs;
  for (const [id, entry] of scheduler.requests) {
    if (entry.endedAtMs === undefined || entry.endedAtMs > oldestMs) continue;
    if (!isKeptElsewhere(scheduler, entry)) continue;
    scheduler.requests.delete(id);
    if (entry.role !== "home") continue;
    const { sequence } = splitRequestId(id);
    scheduler.forgottenBelow = Math.max(
      scheduler.forgottenBelow,
      sequence + 1,
    );
  }
}

/** Durable work is forgotten only once the log has its end. */
function isKeptElsewhere(scheduler: Scheduler, entry: RequestEntry): boolean {
  if (entry.role === "guest" || !entry.request.durable) return true;
  return endedOf(scheduler.log, entry.request.id) !== undefined;
}

function forgetRefusals(scheduler: Scheduler): void {
  const oldestMs = scheduler.moment.steadyMs - REFUSAL_RETENTION_MS;
  for (const [id, refusedAtMs] of scheduler.refusedIds) {
    if (refusedAtMs > oldestMs) return;
    scheduler.refusedIds.delete(id);
  }
}

function forgetRecords(scheduler: Scheduler): void {
  const oldestMs = scheduler.moment.wallMs - RECORD_RETENTION_MS;
  for (const held of scheduler.held.values()) {
    for (const [taskId, record] of held.records) {
      const { endedAtMs } = record;
      if (endedAtMs === undefined || endedAtMs > oldestMs) continue;
      held.records.delete(taskId);
    }
  }
}

function forgetGoneWorkers(scheduler: Scheduler): void {
  const oldestMs = scheduler.moment.wallMs - GONE_RETENTION_MS;
  for (const [worker, atMs] of scheduler.goneWorkers) {
    if (atMs < oldestMs) scheduler.goneWorkers.delete(worker);
  }
}
