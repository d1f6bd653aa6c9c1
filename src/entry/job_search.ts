import type { Clock } from "../hosts/mod.ts";
import type { Directory, OwnedDomains } from "../ownership/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";
import { untilTimeout } from "./until_timeout.ts";

/** How long the domains of this instance may take to be searched, in ms. */
const LOCAL_SEARCH_TIMEOUT_MS = 400;

/**
 * The answer of an instance to the search for a job: the partition of its domain
 * that has the job, if one has.
 */
export type JobSearchAnswer = { partition?: number | undefined };

/** The outcome of the search for a job. */
export type JobSearch =
  | { kind: "found"; partition: number }
  | { kind: "notFound" }
  /** An owner that may have the job did not answer. */
  | { kind: "unanswered" };

/** Dependencies of a search. */
export type JobSearchHost = {
  clock: Clock;
  logger: PartLogger;
  directory: Directory;
  ownedDomains: OwnedDomains;
  /** Address of this instance as listed in the directory. */
  self: string;
  /** Searches the domains of another instance; undefined without an answer. */
  findJobAt(
    instance: string,
    job: string,
  ): Promise<JobSearchAnswer | undefined>;
};

/**
 * Searches all known owners for a job that the domain of a partition does not
 * have.
 *
 * @example
 * ```ts
 * const search = await findJobElsewhere(host, "5c0e7a21d94b36f8", 3);
 * ```
 */
export async function findJobElsewhere(
  host: JobSearchHost,
  job: string,
  excludedPartition: number,
): Promise<JobSearch> {
  const owners = [...new Set(Object.values(host.directory.knownOwners()))];
  const answers = await Promise.all(
    owners.map((owner) =>
      owner === host.self ? findHere(host, job) : host.findJobAt(owner, job)
    ),
  );
  for (const answer of answers) {
    const partition = answer?.partition;
    if (partition === undefined || partition === excludedPartition) continue;
    return { kind: "found", partition };
  }
  if (!answers.includes(undefined)) return { kind: "notFound" };
  host.logger.info("An owner did not answer the search for a job.", {
    job,
    owners: owners.filter((_, index) => answers[index] === undefined).join(","),
  });
  // An entry of an owner that is gone would hold up later searches, too.
  host.directory.refresh();
  return { kind: "unanswered" };
}

async function findHere(
  { ownedDomains, clock }: JobSearchHost,
  job: string,
): Promise<JobSearchAnswer | undefined> {
  const search = ownedDomains.find(job).then((partition) => ({ partition }));
  return await untilTimeout(clock, search, LOCAL_SEARCH_TIMEOUT_MS);
}
