import type { DomainWorker } from "./domain_worker.ts";

/** Consecutive failures from which a worker is quarantined. */
const QUARANTINE_FAILURES = 3;
/** Duration of the first quarantine, doubled by each further failure. */
const INITIAL_QUARANTINE_MS = 1_000;
/** Upper bound on the duration of a quarantine, in milliseconds. */
const MAX_QUARANTINE_MS = 8_000;
/** How long a worker stays on probation without a run, in milliseconds. */
const MAX_PROBATION_MS = 8_000;
/**
 * The longest quarantine and probation together, in milliseconds: accepted work
 * is to run within 14 s while there is room.
 */
const MAX_AVOIDANCE_MS = 12_000;
/** Quarantine of a worker that reports itself unhealthy, in milliseconds. */
const UNHEALTHY_QUARANTINE_MS = 500;

/**
 * Counts a failed run. A worker with too many consecutive failures is
 * quarantined with exponential backoff.
 */
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
  health.probationUntilMs = nowMs +
    Math.min(quarantineMs + MAX_PROBATION_MS, MAX_AVOIDANCE_MS);
}

/** Resets the count of consecutive failures after a successful run. */
export function recordSuccess(worker: DomainWorker): void {
  worker.health.consecutiveFailures = 0;
}

/** Quarantines a worker that rejected a start because it is unhealthy. */
export function recordUnhealthy(worker: DomainWorker, nowMs: number): void {
  const { health } = worker;
  health.avoidUntilMs = Math.max(
    health.avoidUntilMs,
    nowMs + UNHEALTHY_QUARANTINE_MS,
  );
}

/**
 * How many tasks a worker may run now: none in quarantine, one on probation
 * after it, and otherwise any number. A probation ends with a successful run, or
 * after some time: work that needs more than one task of a worker would wait
 * forever if nothing else were submitted.
 */
export function maxRunningTasks(worker: DomainWorker, nowMs: number): number {
  const { consecutiveFailures, avoidUntilMs, probationUntilMs } = worker.health;
  if (nowMs < avoidUntilMs) return 0;
  const isOnProbation = consecutiveFailures >= QUARANTINE_FAILURES &&
    nowMs < probationUntilMs;
  return isOnProbation ? 1 : Infinity;
}
