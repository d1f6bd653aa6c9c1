/** Ids of jobs that calls in progress may add to a domain. */
export type JobClaims = {
  /** Whether a call in progress may add a job. */
  has(job: string): boolean;
  /** Claims a job; returns a function that ends the claim. */
  add(job: string): () => void;
};

/**
 * Creates an empty set of claims. Several calls may claim the same job.
 *
 * @example
 * ```ts
 * const endClaim = claims.add("5c0e7a21d94b36f8");
 * ```
 */
export function createJobClaims(): JobClaims {
  const counts = new Map<string, number>();
  return {
    has: (job) => counts.has(job),
    add(job) {
      counts.set(job, (counts.get(job) ?? 0) + 1);
      return () => {
        const others = (counts.get(job) ?? 0) - 1;
        if (others > 0) counts.set(job, others);
        else counts.delete(job);
      };
    },
  };
}
