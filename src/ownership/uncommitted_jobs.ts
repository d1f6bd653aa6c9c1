/** Which jobs have no record in the store yet, nor one on its way there. */
export type UncommittedJobs = {
  /** Takes in a call that hands a job in; a known job may have a record. */
  add(job: string, call: number, isNew: boolean): void;
  /** The records of all jobs so far are on their way to the store. */
  markAllSent(): void;
  /** Takes the jobs whose records have not left, with the calls for each. */
  withdrawAll(): { job: string; calls: number[] }[];
};

/**
 * Creates a list without jobs.
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
      const withdrawn = [...callsByJob].map(([job, numbers]) => ({
        job,
        calls: numbers,
      }));
      callsByJob.clear();
      return withdrawn;
    },
  };
}
