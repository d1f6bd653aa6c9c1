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
 * @param otherSurvival the product of `survivalProbability` of the other tasks that
 * may have caused it
 *
 * @example
 * ```ts
 * evidenceOfCrash(0.001, 1); // 6.9
 * ```
 */
export function evidenceOfCrash(
  outsideProbability: number,
  otherSurvival: number,
): number {
  return -Math.log(1 - (1 - outsideProbability) * otherSurvival);
}

/**
 * Returns the probability that a worker survives the start of a task.
 *
 * @param evidence the evidence against the task, as a logarithm
 */
export function survivalProbability(evidence: number): number {
  const odds = PRIOR_SHARE / (1 - PRIOR_SHARE) * Math.exp(evidence);
  return 1 / (1 + odds);
}
