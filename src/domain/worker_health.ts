import type { DomainWorker } from "./domain_worker.ts";

/** Failures in a row after which a worker is set aside. */
const SUSPECT_FAILURES = 3;
/** How long a worker is set aside the first time, in milliseconds. */
const FIRST_PAUSE_MS = 1_000;
/** The longest time for which a worker is set aside, in milliseconds. */
const LONGEST_PAUSE_MS = 8_000;
/** How long a worker that calls itself unhealthy is left alone, in ms. */
const UNHEALTHY_PAUSE_MS = 500;

/** Counts a failed run; a worker that fails all it starts is set aside. */
export function noteFailure(worker: DomainWorker, nowMs: number): void {
  const { health } = worker;
  health.consecutiveFailures += 1;
  const surplus = health.consecutiveFailures - SUSPECT_FAILURES;
  if (surplus < 0) return;
  const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** surplus, LONGEST_PAUSE_MS);
  health.avoidUntilMs = Math.max(health.avoidUntilMs, nowMs + pauseMs);
}

/** Counts a run that ended as done. */
export function noteSuccess(worker: DomainWorker): void {
  worker.health.consecutiveFailures = 0;
}

/** Takes in that a worker refused a start as unhealthy. */
export function noteUnhealthy(worker: DomainWorker, nowMs: number): void {
  const { health } = worker;
  health.avoidUntilMs = Math.max(
    health.avoidUntilMs,
    nowMs + UNHEALTHY_PAUSE_MS,
  );
}

/** How many tasks a worker may run now; one while it is on probation. */
export function runLimit(worker: DomainWorker, nowMs: number): number {
  const { consecutiveFailures, avoidUntilMs } = worker.health;
  if (nowMs < avoidUntilMs) return 0;
  return consecutiveFailures >= SUSPECT_FAILURES ? 1 : Infinity;
}
