/** The jobs without a record that is in the store or on its way there. */
export type UncommittedJobs = {
  /** Adds a call that submits a job; one that is not new may have a record. */
  add(job: string, call: number, isNew: boolean): void;
  /** Removes all jobs, as their records are being sent to the store. */
  markAllSent(): void;
  /** Removes and returns all jobs, with the calls that submitted each one. */
  withdrawAll(): { job: string; calls: number[] }[];
};

/**
 * Creates an empty set of jobs.
 *
 * @example
 * ```ts
 * const uncommitted = createUncommittedJobs();
 * uncommitted.add("5c0e7a21d94b36f8", 17, true);
 * uncommitted.withdrawAll(); // [{ job: "5c0e7a21d94b36f8", calls: [17] }]
 * ```
 */
export function createUncommittedJobs(): UncommittedJobs {
  const callsByJob = new Map<string, number[]>();
  return {
    add(job, call, isNew) {
      const known = callsByJob.get(job);
      if (known !== undefined) known.push(call);
      else if (isNew) callsByJob.set(job, [call]);
    },
    markAllSent: () => callsByJob.clear(),
    withdrawAll() {
      const withdrawn = [...callsByJob].map(([job, calls]) => ({
        job,
        calls,
      }));
      callsByJob.clear();
      return withdrawn;
    },
  };
}
