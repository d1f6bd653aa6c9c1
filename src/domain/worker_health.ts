import type { DomainWorker } from "./domain_worker.ts";

/** Failures in a row after which a worker is set aside. */
const QUARANTINE_FAILURES = 3;
/** How long a worker is set aside the first time, in milliseconds. */
const INITIAL_QUARANTINE_MS = 1_000;
/** The longest time for which a worker is set aside, in milliseconds. */
const MAX_QUARANTINE_MS = 8_000;
/** How long a worker that calls itself unhealthy is left alone, in ms. */
const UNHEALTHY_QUARANTINE_MS = 500;

/** Counts a failed run; a worker that fails all it starts is set aside. */
export function recordFailure(worker: DomainWorker, nowMs: number): void {
  const { health } = worker;
  health.consecutiveFailures += 1;
  const excessFailures = health.consecutiveFailures - QUARANTINE_FAILURES;
  if (excessFailures < 0) return;
  const quarantineMs = Math.min(
    INITIAL_QUARANTINE_MS * 2 ** excessFailures,
    MAX_QUARANTINE_MS,
  );
  health.avoidUntilMs = Math.max(health.avoidUntilMs, nowMs + quarantineMs);
}

/** Counts a run that ended as done. */
export function recordSuccess(worker: DomainWorker): void {
  worker.health.consecutiveFailures = 0;
}

/** Takes in that a worker refused a start as unhealthy. */
export function recordUnhealthy(worker: DomainWorker, nowMs: number): void {
  const { health } = worker;
  health.avoidUntilMs = Math.max(
    health.avoidUntilMs,
    nowMs + UNHEALTHY_QUARANTINE_MS,
  );
}

/** How many tasks a worker may run now; one while it is on probation. */
export function maxRunningTasks(worker: DomainWorker, nowMs: number): number {
  const { consecutiveFailures, avoidUntilMs } = worker.health;
  if (nowMs < avoidUntilMs) return 0;
  return consecutiveFailures >= QUARANTINE_FAILURES ? 1 : Infinity;
}
