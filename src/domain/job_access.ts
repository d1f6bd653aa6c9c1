import type { Domain } from "./domain.ts";

/** Who makes a call about a job, as far as it is known. */
export type JobCaller = {
  /** Absent if the call needed no key. */
  clientAccount?: string | undefined;
  /** The queue at whose address the call arrived. */
  queue?: string | undefined;
};

/**
 * Whether a job is not shown to a caller, who cannot change it either. The job of
 * a client account is shown to calls with a key of it, and to calls without a key
 * that arrive at its own queue, which is public then.
 *
 * @example
 * ```ts
 * isHiddenFrom(domain, "5c0e7a21d94b36f8", { clientAccount: "press" });
 * ```
 */
export function isHiddenFrom(
  domain: Domain,
  job: string,
  { clientAccount, queue }: JobCaller,
): boolean {
  const policy = domain.jobs.get(job)?.job.policy;
  if (policy?.clientAccount === undefined) return false;
  if (clientAccount !== undefined) {
    return policy.clientAccount !== clientAccount;
  }
  // Earlier versions do not name the queue.
  return queue !== undefined && policy.queue !== queue;
}
