/**
 * The domains that this instance owns: takes over the domains that the group
 * assigns to it, and releases the others.
 *
 * @module
 */
import { createChildController } from "../base/mod.ts";
import type { DomainOptions } from "../domain/mod.ts";
import type { Assignment, Partition } from "../hosts/mod.ts";
import { type DomainOwner, startDomainOwner } from "./domain_owner.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import type { DomainQueues } from "./queue_records.ts";
import { takeOver } from "./take_over.ts";

/** How long the release of a domain waits for its last commits, in ms. */
const FLUSH_TIMEOUT_MS = 400;
/** How long a reassigned domain waits for its new owner, in milliseconds. */
const HANDOVER_TIMEOUT_MS = 3_000;

/** Dependencies of the owned domains and their owners. */
export type OwnedDomainsHost =
  & Omit<
    DomainOwnerHost,
    | "partition"
    | "epoch"
    | "sequence"
    | "epochRaisedAt"
    | "servesDomain"
    | "onFenced"
    | "onFailed"
  >
  & {
    options: DomainOptions;
    /** Whether a configured service belongs to the domain. */
    isInUse(partition: number): boolean;
    servesDomain(service: string, partition: number): boolean;
    /**
     * Leaves and rejoins the group to get a new epoch. Called when an epoch can
     * no longer be used although no other instance has a higher one.
     */
    rejoinGroup(): void;
    /**
     * Checks which instances can be reached, before one that starts to own a
     * domain in use relies on them.
     */
    checkInstances(): Promise<void>;
    /** Called after the takeover of a domain in use. */
    onTakeover(partition: number, epoch: number): void;
  };

/** The result of a search for a job in owned domains. */
export type DomainSearch = {
  /** The partition of the domain that has the job. */
  partition?: number | undefined;
  /** The partition of a domain in which the id of the job was cancelled. */
  cancelledIn?: number | undefined;
  /** The partition of a domain to which a call in progress may add the job. */
  claimedIn?: number | undefined;
  /** The partitions that were searched, since this instance owns them. */
  searched: number[];
};

/** What a search for a job demands of the owners, and tells them. */
export type DomainSearchOptions = {
  /**
   * By partition, the lowest epoch of an owner that may answer. An owner that
   * has been superseded does not know what its successor has accepted.
   */
  epochs?: Record<number, number> | undefined;
  /** The domain that searches, so that the others search it from then on. */
  sharer?: DomainQueues | undefined;
};

/** The domains that this instance owns. */
export type OwnedDomains = {
  /** The owner of a domain; undefined if this instance does not own it. */
  ownerOf(partition: number): Promise<DomainOwner | undefined>;
  /**
   * Searches domains for a job. Waits for takeovers, also of domains that are
   * not in use.
   *
   * @param partitions the domains to search; all owned ones if absent
   */
  find(
    job: string,
    partitions?: number[],
    options?: DomainSearchOptions,
  ): Promise<DomainSearch>;
  /** The number of owned domains. */
  count(): number;
  /** The owners of all owned domains. */
  owners(): Promise<DomainOwner[]>;
  /** The owners of the domains whose takeover is complete. */
  loadedOwners(): DomainOwner[];
  /** Takes over and releases domains to match an assignment. */
  assign(assignment: Assignment): void;
  /**
   * Ends the ownership of a domain under any epoch up to the given one, since
   * a successor has taken it over. Afterwards this process grants no leases
   * for the domain.
   */
  release(partition: number, epoch: number): void;
  /** Releases every domain, after its last changes have been committed. */
  close(): Promise<void>;
};

type OwnedDomain = {
  epoch: number;
  controller: AbortController;
  /** Resolves to undefined if the takeover was fenced. */
  owner: Promise<DomainOwner | undefined>;
  /** The owner once the takeover is complete. */
  loaded: DomainOwner | undefined;
};

/**
 * Creates an empty set of owned domains.
 *
 * @example
 * ```ts
 * const domains = createOwnedDomains(host);
 * domains.assign(assignment);
 * ```
 */
export function createOwnedDomains(host: OwnedDomainsHost): OwnedDomains {
  const domains = new Map<number, OwnedDomain>();
  /** The latest assignment; domains that are not in use are taken over last. */
  let assigned: Assignment = { generation: 0, partitions: [] };
  /** The highest epoch under which each domain may not be taken over again. */
  const fencedEpochs = new Map<number, number>();
  /** Reassigned domains that are served until their new owner takes over. */
  const handingOver = new Set<number>();

  /** Ends the ownership of a domain after its last commits, or a timeout. */
  async function closeDomain(number: number, reason: string): Promise<void> {
    const domain = domains.get(number);
    if (domain === undefined) return;
    domains.delete(number);
    host.logger.info("Released a domain.", {
      partition: number,
      epoch: domain.epoch,
      reason,
    });
    const owner = await Promise.race([
      domain.owner,
      host.clock.sleep(FLUSH_TIMEOUT_MS, domain.controller.signal),
    ]);
    if (owner !== undefined) {
      await Promise.race([
        owner.flush(),
        host.clock.sleep(FLUSH_TIMEOUT_MS, domain.controller.signal),
      ]);
    }
    domain.controller.abort();
  }

  /**
   * Serves a reassigned domain until its new owner has raised the epoch, so
   * that the domain always has an owner to call.
   */
  async function handOver(number: number): Promise<void> {
    const domain = domains.get(number);
    if (domain === undefined || handingOver.has(number)) return;
    handingOver.add(number);
    await host.clock.sleep(HANDOVER_TIMEOUT_MS, domain.controller.signal);
    handingOver.delete(number);
    const isStillAssigned = assigned.partitions.some((partition) =>
      partition.number === number
    );
    if (!isStillAssigned && domains.get(number) === domain) {
      await closeDomain(number, "reassigned");
    }
  }

  /** Ends the ownership of a domain at once, without further commits. */
  function endOwnership(
    number: number,
    controller: AbortController,
    cause: string,
  ): void {
    controller.abort();
    const domain = domains.get(number);
    if (domain?.controller !== controller) return;
    domains.delete(number);
    host.logger.warn("Lost the ownership of a domain.", {
      partition: number,
      epoch: domain.epoch,
      cause,
    });
  }

  function recordFencedEpoch(number: number, epoch: number): void {
    const known = fencedEpochs.get(number) ?? 0;
    fencedEpochs.set(number, Math.max(known, epoch));
  }

  /** Whether a domain is not owned yet and may be taken over under an epoch. */
  function canTakeOver(number: number, epoch: number): boolean {
    return !domains.has(number) && epoch > (fencedEpochs.get(number) ?? 0);
  }

  /** Adds a domain, whose owner is available after the takeover. */
  function beginTakeover(partition: Partition, epoch: number): void {
    const controller = createChildController(host.signal);
    const onFenced = (cause: string) => {
      recordFencedEpoch(partition.number, epoch);
      endOwnership(partition.number, controller, cause);
    };
    const onFailed = (cause: string) => {
      onFenced(cause);
      host.rejoinGroup();
    };
    const owner = takeOverDomain(partition, epoch, {
      onFenced,
      onFailed,
      signal: controller.signal,
    });
    const domain: OwnedDomain = { epoch, controller, owner, loaded: undefined };
    domains.set(partition.number, domain);
    owner.then((loaded) => domain.loaded = loaded);
  }

  /** Takes over all other domains once the domains in use are served. */
  async function takeOverIdleDomains(assignment: Assignment): Promise<void> {
    await Promise.all([...domains.values()].map(({ owner }) => owner));
    for (const partition of assignment.partitions) {
      if (assigned !== assignment || host.signal.aborted) return;
      await ownerOrTakeOver(partition.number);
    }
  }

  /** The owner of a domain, which is taken over now if it was deferred. */
  async function ownerOrTakeOver(
    number: number,
  ): Promise<DomainOwner | undefined> {
    const partition = assigned.partitions.find((candidate) =>
      candidate.number === number
    );
    if (partition !== undefined && canTakeOver(number, assigned.generation)) {
      beginTakeover(partition, assigned.generation);
    }
    return await domains.get(number)?.owner;
  }

  /** Restores a domain and starts its owner; undefined after a fault. */
  async function takeOverDomain(
    partition: Partition,
    epoch: number,
    callbacks: Pick<DomainOwnerHost, "onFenced" | "onFailed" | "signal">,
  ): Promise<DomainOwner | undefined> {
    const { signal } = callbacks;
    const [takeover] = await Promise.all([
      takeOver({ ...host, partition, epoch, signal }),
      host.isInUse(partition.number) ? host.checkInstances() : undefined,
    ]);
    if (takeover.isErr()) {
      const { kind, message } = takeover.error;
      if (kind === "sequence") callbacks.onFailed(message);
      else callbacks.onFenced(message);
      return undefined;
    }
    if (host.isInUse(partition.number)) {
      host.onTakeover(partition.number, epoch);
    }
    const { domain, sequence, epochRaisedAt } = takeover.value;
    return startDomainOwner({
      ...host,
      ...callbacks,
      partition,
      epoch,
      sequence,
      epochRaisedAt,
      servesDomain: (service) => host.servesDomain(service, partition.number),
    }, domain);
  }

  return {
    ownerOf: ownerOrTakeOver,
    async find(job, partitions, { epochs = {}, sharer } = {}) {
      const numbers = new Set(
        partitions ?? [
          ...domains.keys(),
          ...assigned.partitions.map(({ number }) => number),
        ],
      );
      const owners = await Promise.all([...numbers].map(ownerOrTakeOver));
      const searched = owners.filter((owner) => owner !== undefined)
        .filter(({ partition, epoch }) => epoch >= (epochs[partition] ?? 0));
      // Without a pause between the two, so that an owner which does not have
      // the job knows of the other domain before it can accept the job.
      if (sharer !== undefined) {
        for (const owner of searched) owner.addSharer(sharer);
      }
      const find = (predicate: (owner: DomainOwner) => boolean) =>
        searched.find(predicate)?.partition;
      return {
        partition: find((owner) => owner.hasJob(job)),
        cancelledIn: find((owner) => owner.hasCancelled(job)),
        claimedIn: find((owner) => owner.hasClaim(job)),
        searched: searched.map(({ partition }) => partition),
      };
    },
    count: () => domains.size,
    async owners() {
      const owners = await Promise.all(
        [...domains.values()].map(({ owner }) => owner),
      );
      return owners.filter((owner) => owner !== undefined);
    },
    loadedOwners: () =>
      [...domains.values()].flatMap(({ loaded }) => loaded ?? []),
    assign(assignment) {
      assigned = assignment;
      const { generation, partitions } = assignment;
      const numbers = new Set(partitions.map(({ number }) => number));
      const unassigned = [...domains.keys()].filter((number) =>
        !numbers.has(number)
      );
      for (const number of unassigned) handOver(number);
      const isNew = ({ number }: Partition) => canTakeOver(number, generation);
      const used = partitions.filter(({ number }) => host.isInUse(number));
      for (const partition of used.filter(isNew)) {
        beginTakeover(partition, generation);
      }
      if (partitions.some(isNew)) takeOverIdleDomains(assignment);
    },
    release(partition, epoch) {
      recordFencedEpoch(partition, epoch);
      const domain = domains.get(partition);
      if (domain === undefined || domain.epoch > epoch) return;
      endOwnership(partition, domain.controller, "requested by a successor");
    },
    async close() {
      assigned = { generation: 0, partitions: [] };
      const numbers = [...domains.keys()];
      await Promise.all(
        numbers.map((number) => closeDomain(number, "stopping")),
      );
    },
  };
}
