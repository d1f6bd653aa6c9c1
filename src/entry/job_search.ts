import type { Clock } from "../hosts/mod.ts";
import type {
  Directory,
  DomainQueues,
  DomainSearch,
  DomainSearchOptions,
  OwnedDomains,
} from "../ownership/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";
import { untilTimeout } from "./until_timeout.ts";

/** How long the domains of this instance may take to be searched, in ms. */
const LOCAL_SEARCH_TIMEOUT_MS = 400;
/** Pause before a search without an answer is repeated, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** The outcome of the search for a job. */
export type JobSearch =
  | { kind: "found"; partition: number }
  /** No domain has the job, and its id was cancelled in this one. */
  | { kind: "cancelled"; partition: number }
  /** No domain has the job yet; a call in progress may add it to this one. */
  | { kind: "claimed"; partition: number }
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
  /** Searches domains of another instance; undefined without an answer. */
  findJobAt(
    instance: string,
    job: string,
    partitions: number[],
    options: DomainSearchOptions,
  ): Promise<DomainSearch | undefined>;
  signal: AbortSignal;
};

/**
 * Searches domains for a job until the owner of each has answered.
 *
 * @param untilMs when a search without an answer ends, on the steady clock
 * @param options what the search demands of the owners, and tells them
 *
 * @example
 * ```ts
 * const search = await findJob(host, "5c0e7a21d94b36f8", [3], untilMs);
 * ```
 */
export async function findJob(
  host: JobSearchHost,
  job: string,
  partitions: number[],
  untilMs: number,
  options: DomainSearchOptions = {},
): Promise<JobSearch> {
  const { clock, signal, directory } = host;
  while (true) {
    const search = await searchOnce(host, job, partitions, options);
    if (search.kind !== "unanswered") return search;
    const isTimeUp = clock.steadyMs() + RETRY_INTERVAL_MS > untilMs;
    if (isTimeUp || signal.aborted) return search;
    await clock.sleep(RETRY_INTERVAL_MS, signal);
    // The entry of an owner that is gone would hold up the search.
    await directory.refresh();
  }
}

async function searchOnce(
  host: JobSearchHost,
  job: string,
  partitions: number[],
  options: DomainSearchOptions,
): Promise<JobSearch> {
  const partitionsByOwner = await groupByOwner(host, partitions);
  const answers = await Promise.all(
    [...partitionsByOwner].map(([owner, owned]) =>
      owner === host.self
        ? findHere(host, job, owned, options)
        : host.findJobAt(owner, job, owned, options)
    ),
  );
  const found = answers.find((answer) => answer?.partition !== undefined);
  if (found?.partition !== undefined) {
    return { kind: "found", partition: found.partition };
  }
  const searched = new Set(answers.flatMap((answer) => answer?.searched ?? []));
  const missing = partitions.filter((partition) => !searched.has(partition));
  if (missing.length > 0) {
    host.logger.info("An owner did not answer the search for a job.", {
      job,
      partitions: missing.join(","),
    });
    return { kind: "unanswered" };
  }
  const [cancelledIn] = answers.flatMap((answer) => answer?.cancelledIn ?? []);
  if (cancelledIn !== undefined) {
    return { kind: "cancelled", partition: cancelledIn };
  }
  const claimedIn = answers.flatMap((answer) => answer?.claimedIn ?? []);
  if (claimedIn.length === 0) return { kind: "notFound" };
  return { kind: "claimed", partition: Math.min(...claimedIn) };
}

/**
 * Returns the highest epoch that is known for each partition.
 *
 * @example
 * ```ts
 * epochsOf([{ partition: 3, epoch: 7, queues: [] }]); // { 3: 7 }
 * ```
 */
export function epochsOf(domains: DomainQueues[]): Record<number, number> {
  const epochs: Record<number, number> = {};
  for (const { partition, epoch } of domains) {
    epochs[partition] = Math.max(epochs[partition] ?? 0, epoch);
  }
  return epochs;
}

/** Groups partitions by owner; leaves out those whose owner is unknown. */
async function groupByOwner(
  { directory }: JobSearchHost,
  partitions: number[],
): Promise<Map<string, number[]>> {
  const groups = new Map<string, number[]>();
  for (const partition of partitions) {
    const owner = await directory.ownerOf(partition);
    if (owner === undefined) continue;
    const group = groups.get(owner);
    if (group === undefined) groups.set(owner, [partition]);
    else group.push(partition);
  }
  return groups;
}

async function findHere(
  { ownedDomains, clock }: JobSearchHost,
  job: string,
  partitions: number[],
  options: DomainSearchOptions,
): Promise<DomainSearch | undefined> {
  const search = ownedDomains.find(job, partitions, options);
  return await untilTimeout(clock, search, LOCAL_SEARCH_TIMEOUT_MS);
}
