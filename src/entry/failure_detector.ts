/** Consecutive unanswered probes after which an owner is suspected. */
const SUSPECT_AFTER_PROBES = 2;
/** Further unanswered probes for which each lower-ranked candidate waits. */
const EXTRA_PROBES_PER_RANK = 1;

/** Suspects owners that leave several probes in a row unanswered. */
export type FailureDetector = {
  /** Records whether an owner answered a probe. */
  recordProbe(owner: string, answered: boolean): void;
  /**
   * Whether an owner has left so many probes unanswered that an instance of
   * this rank suspects it.
   *
   * @param rank number of instances that are better candidates than this one
   */
  isSuspected(owner: string, rank: number): boolean;
};

/**
 * Creates a failure detector that suspects no owner.
 *
 * @example
 * ```ts
 * const detector = createFailureDetector();
 * detector.recordProbe("10.1.0.30:7380", false);
 * detector.recordProbe("10.1.0.30:7380", false);
 * detector.isSuspected("10.1.0.30:7380", 0); // true
 * ```
 */
export function createFailureDetector(): FailureDetector {
  const unansweredProbes = new Map<string, number>();
  return {
    recordProbe(owner, answered) {
      if (answered) unansweredProbes.delete(owner);
      else unansweredProbes.set(owner, (unansweredProbes.get(owner) ?? 0) + 1);
    },
    isSuspected: (owner, rank) =>
      (unansweredProbes.get(owner) ?? 0) >=
        SUSPECT_AFTER_PROBES + rank * EXTRA_PROBES_PER_RANK,
  };
}
