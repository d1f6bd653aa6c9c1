/** Unanswered probes in a row after which an owner is suspected. */
const SUSPECT_AFTER_PROBES = 2;
/** How many more the next best candidate waits for, and so on. */
const EXTRA_PROBES_PER_RANK = 1;

/** What an instance holds of the owners that it probes. */
export type FailureDetector = {
  /** Takes in whether an owner answered a probe. */
  recordProbe(owner: string, answered: boolean): void;
  /**
   * Whether an owner has been silent for so long that this instance has to
   * act.
   *
   * @param rank how many instances are better candidates than this one
   */
  isSuspected(owner: string, rank: number): boolean;
};

/**
 * Creates a suspicion of nobody.
 *
 * @example
 * ```ts
 * const suspicion = createSuspicion();
 * suspicion.note("10.1.0.30:7380", false);
 * suspicion.note("10.1.0.30:7380", false);
 * suspicion.isDue("10.1.0.30:7380", 0); // true
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
