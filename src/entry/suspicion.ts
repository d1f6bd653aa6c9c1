/** Unanswered probes in a row after which an owner is suspected. */
const SUSPECT_AFTER = 2;
/** How many more the next best candidate waits for, and so on. */
const MORE_PER_RANK = 1;

/** What an instance holds of the owners that it probes. */
export type Suspicion = {
  /** Takes in whether an owner answered a probe. */
  note(owner: string, answered: boolean): void;
  /**
   * Whether an owner has been silent for so long that this instance has to
   * act.
   *
   * @param rank how many instances are better candidates than this one
   */
  isDue(owner: string, rank: number): boolean;
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
export function createSuspicion(): Suspicion {
  const unanswered = new Map<string, number>();
  return {
    note(owner, answered) {
      if (answered) unanswered.delete(owner);
      else unanswered.set(owner, (unanswered.get(owner) ?? 0) + 1);
    },
    isDue: (owner, rank) =>
      (unanswered.get(owner) ?? 0) >= SUSPECT_AFTER + rank * MORE_PER_RANK,
  };
}
