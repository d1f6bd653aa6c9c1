/**
 * The evidence that a task crashes the workers that start it: how much more
 * probable its crashes are if it does than if workers crash as they do otherwise.
 * The evidence of several crashes is their product, as in a sequential test.
 *
 * @module
 * @see Wald, Sequential Tests of Statistical Hypotheses, 1945
 */

/** Evidence at which a task is held to crash its workers, as a logarithm. */
export const SUFFICIENT_EVIDENCE = Math.log(100_000);
/** The share of tasks that are assumed to crash their workers. */
const PRIOR_SHARE = 0.01;

/**
 * Returns the logarithm of the evidence that a crash adds against a task.
 *
 * @param outsideProbability the probability of a crash without any task
 * @param otherEvidences the evidence against each other task that may have caused
 * this crash, as logarithms
 *
 * @example
 * ```ts
 * evidenceOfCrash(0.001, []); // 6.9
 * ```
 */
export function evidenceOfCrash(
  outsideProbability: number,
  otherEvidences: number[],
): number {
  let survival = 1 - outsideProbability;
  for (const evidence of otherEvidences) {
    survival *= 1 - guiltProbability(evidence);
  }
  return -Math.log(1 - survival);
}

/** The probability that a task crashes its workers, given the evidence. */
function guiltProbability(evidence: number): number {
  const odds = PRIOR_SHARE / (1 - PRIOR_SHARE) * Math.exp(evidence);
  return odds / (1 + odds);
}
