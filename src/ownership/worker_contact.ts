/**
 * When the workers of a domain last answered its owner. A worker that has
 * answered a later owner refuses the earlier one, so an owner that still gets
 * answers from most workers with a start permit has no successor that does.
 *
 * @module
 */
import type { StartPermit } from "../domain/mod.ts";
import type { Clock } from "../hosts/mod.ts";
import { createSuspensionMeter } from "./suspension_meter.ts";

/** The latest answers of the workers of a domain to polls of its owner. */
export type WorkerContact = {
  /**
   * Records an answer.
   *
   * @param bornMs the worker's incarnation
   * @param sentAtMs when the poll was sent at the earliest, on the steady clock
   */
  record(worker: string, bornMs: number, sentAtMs: number): void;
  /**
   * How long ago the oldest poll was sent of those with which most workers with
   * a permit have answered last, in milliseconds; Infinity if fewer have.
   */
  majorityAgeMs(permits: ReadonlyMap<string, StartPermit>): number;
};

/**
 * Creates the contacts of an owner that has not polled a worker yet.
 *
 * @example
 * ```ts
 * const contact = createWorkerContact(clock);
 * contact.record("i-7f3a91c2", 1, clock.steadyMs());
 * contact.majorityAgeMs(domain.startPermits);
 * ```
 */
export function createWorkerContact(clock: Clock): WorkerContact {
  const answers = new Map<string, { bornMs: number; sentAtMs: number }>();
  const suspensions = createSuspensionMeter(clock);
  let suspendedForMs = suspensions.totalMs();
  let suspendedAtMs = -Infinity;

  /** Discards the answers from before a suspension of this process. */
  function discardOutdated(): void {
    const totalMs = suspensions.totalMs();
    if (totalMs > suspendedForMs) suspendedAtMs = clock.steadyMs();
    suspendedForMs = totalMs;
  }

  return {
    record(worker, bornMs, sentAtMs) {
      discardOutdated();
      const known = answers.get(worker);
      if (known?.bornMs === bornMs && known.sentAtMs > sentAtMs) return;
      answers.set(worker, { bornMs, sentAtMs });
    },
    majorityAgeMs(permits) {
      discardOutdated();
      const sentAtMs: number[] = [];
      for (const [worker, permit] of permits) {
        const answer = answers.get(worker);
        if (answer === undefined || permit.phase !== "granted") continue;
        if (answer.bornMs !== permit.bornMs) continue;
        if (answer.sentAtMs > suspendedAtMs) sentAtMs.push(answer.sentAtMs);
      }
      sentAtMs.sort((left, right) => right - left);
      const oldest = sentAtMs[Math.floor(permits.size / 2)];
      return oldest === undefined ? Infinity : clock.steadyMs() - oldest;
    },
  };
}
