/**
 * Collects usage and observed time, and puts them into the log.
 *
 * @module
 */
import type { Usage } from "../model/mod.ts";
import { commitInBackground } from "./appends.ts";
import type { Flow } from "./flow.ts";
import type { HeldWorker } from "./held_worker.ts";
import type { Observation, Scheduler } from "./scheduler.ts";
import { sleep } from "./waits.ts";

const HOUR_MS = 3_600_000;
/** The longest stretch without an answer that still counts as observed. */
const MAX_OBSERVED_GAP_MS = 5_000;
/** Hours for which cumulative records are kept in memory. */
const KEPT_HOURS = 2;

/** Takes in a cumulative usage record of a worker; the largest holds. */
export function takeUsage(scheduler: Scheduler, usage: Usage): void {
  const key = [
    usage.worker,
    usage.token,
    usage.hourMs,
    usage.customer,
    usage.agreement,
  ].join(" ");
  const known = scheduler.usage.get(key);
  if (known !== undefined && known.memoryMbMs >= usage.memoryMbMs) return;
  scheduler.usage.set(key, usage);
  scheduler.dirtyUsage.add(key);
}

/** Counts the time since the last answer of a worker as observed. */
export function observe(
  scheduler: Scheduler,
  held: HeldWorker,
  sentAtMs: number,
): void {
  const previousMs = held.validUntilMs - held.leaseMs;
  const gapMs = sentAtMs - previousMs;
  if (gapMs <= 0 || gapMs > MAX_OBSERVED_GAP_MS) return;
  const { wallMs } = scheduler.moment;
  const hourMs = wallMs - wallMs % HOUR_MS;
  const worker = held.address.id;
  const key = `${worker} ${held.token} ${hourMs}`;
  const observation: Observation = scheduler.observations.get(key) ??
    { worker, token: held.token, hourMs, observedMs: 0 };
  observation.observedMs += gapMs;
  scheduler.observations.set(key, observation);
  scheduler.dirtyUsage.add(key);
}

/** Appends what changed to the log at intervals, for as long as it runs. */
export function* recordUsage(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(scheduler.options.usageIntervalMs);
    flushUsage(scheduler);
  }
}

/** Queues every changed usage record for the log. */
export function flushUsage(scheduler: Scheduler): void {
  const keys = [...scheduler.dirtyUsage];
  if (keys.length === 0) return;
  scheduler.dirtyUsage.clear();
  commitInBackground(scheduler, {
    kind: "usage",
    observer: scheduler.self.id,
    usage: keys.flatMap((key) => scheduler.usage.get(key) ?? []),
    observed: keys.flatMap((key) => {
      const observation = scheduler.observations.get(key);
      return observation === undefined ? [] : { ...observation };
    }),
  });
  forgetOldHours(scheduler);
}

function forgetOldHours(scheduler: Scheduler): void {
  const oldestMs = scheduler.moment.wallMs - KEPT_HOURS * HOUR_MS;
  for (const [key, usage] of scheduler.usage) {
    if (usage.hourMs < oldestMs) scheduler.usage.delete(key);
  }
  for (const [key, observation] of scheduler.observations) {
    if (observation.hourMs < oldestMs) scheduler.observations.delete(key);
  }
}
