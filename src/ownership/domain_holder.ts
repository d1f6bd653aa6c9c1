/**
 * The domains that this instance owns at the moment: takes over what it is
 * assigned, and gives up what it is not.
 *
 * @module
 */
import { createChildController } from "../base/mod.ts";
import type { DomainOptions } from "../domain/mod.ts";
import type { Assignment, Partition } from "../hosts/mod.ts";
import { type DomainOwner, startDomainOwner } from "./domain_owner.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import { takeOver } from "./take_over.ts";

/** How long a domain that is given up may still write, in milliseconds. */
const SETTLE_MS = 400;
/** How long a reassigned domain is served until its new owner has it, in ms. */
const SURRENDER_MS = 3_000;

/** What a holder needs for each of its domains. */
export type DomainHolderHost =
  & Omit<
    DomainOwnerHost,
    | "partition"
    | "epoch"
    | "sequence"
    | "servesDomain"
    | "onFenced"
    | "onFailed"
  >
  & {
    options: DomainOptions;
    /** Whether a service of the configuration belongs to the domain. */
    isInUse(partition: number): boolean;
    servesDomain(service: string, partition: number): boolean;
    /**
     * An epoch cannot be used any more though no other instance has a higher
     * one; the membership has to begin anew.
     */
    renewMembership(): void;
    /** A domain in use was taken over. */
    onTaken(partition: number, epoch: number): void;
  };

/** The domains of this instance. */
export type DomainHolder = {
  /** The owner of a domain; undefined where it is not owned here. */
  ownerOf(partition: number): Promise<DomainOwner | undefined>;
  /** The partition of the domain owned here that knows a job. */
  find(job: string): Promise<number | undefined>;
  /** How many domains are owned here. */
  count(): number;
  /** The owners of the domains that are owned here. */
  owners(): Promise<DomainOwner[]>;
  /** Brings the domains up to an assignment. */
  assign(assignment: Assignment): void;
  /**
   * Ends the ownership of a domain up to an epoch, since a successor has
   * taken it over. Afterwards this process grants no lease for it.
   */
  release(partition: number, epoch: number): void;
  /** Gives every domain up after its last changes are in the store. */
  close(): Promise<void>;
};

type Held = {
  epoch: number;
  ending: AbortController;
  /** Undefined where the takeover was fenced. */
  owner: Promise<DomainOwner | undefined>;
};

/**
 * Creates a holder without domains.
 *
 * @example
 * ```ts
 * const holder = createDomainHolder(host);
 * await holder.assign(assignment);
 * ```
 */
export function createDomainHolder(host: DomainHolderHost): DomainHolder {
  const held = new Map<number, Held>();
  /** What the group assigned last; all of it is taken over in time. */
  let assigned: Assignment = { generation: 0, partitions: [] };
  /** The epoch up to which each domain belongs to a successor. */
  const fencedEpochs = new Map<number, number>();
  /** Domains that wait for the owner to which they were reassigned. */
  const surrendered = new Set<number>();

  async function giveUp(number: number, reason: string): Promise<void> {
    const domain = held.get(number);
    if (domain === undefined) return;
    held.delete(number);
    host.logger.info("Gave a domain up.", {
      partition: number,
      epoch: domain.epoch,
      reason,
    });
    const owner = await Promise.race([
      domain.owner,
      host.clock.sleep(SETTLE_MS, domain.ending.signal),
    ]);
    if (owner !== undefined) {
      await Promise.race([
        owner.settle(),
        host.clock.sleep(SETTLE_MS, domain.ending.signal),
      ]);
    }
    domain.ending.abort();
  }

  /**
   * Serves a reassigned domain until its new owner has raised the epoch, so
   * that no call finds it without an owner.
   */
  async function surrender(number: number): Promise<void> {
    const domain = held.get(number);
    if (domain === undefined || surrendered.has(number)) return;
    surrendered.add(number);
    await host.clock.sleep(SURRENDER_MS, domain.ending.signal);
    surrendered.delete(number);
    const isStillOurs = assigned.partitions.some((partition) =>
      partition.number === number
    );
    if (!isStillOurs && held.get(number) === domain) {
      await giveUp(number, "reassigned");
    }
  }

  function drop(number: number, ending: AbortController, cause: string): void {
    ending.abort();
    const domain = held.get(number);
    if (domain?.ending !== ending) return;
    held.delete(number);
    host.logger.warn("Lost a domain.", {
      partition: number,
      epoch: domain.epoch,
      cause,
    });
  }

  function fence(number: number, epoch: number): void {
    const known = fencedEpochs.get(number) ?? 0;
    fencedEpochs.set(number, Math.max(known, epoch));
  }

  /** Whether a domain that is not held may be taken over. */
  function mayTake(number: number, epoch: number): boolean {
    return !held.has(number) && epoch > (fencedEpochs.get(number) ?? 0);
  }

  function take(partition: Partition, epoch: number): void {
    const ending = createChildController(host.signal);
    const onFenced = (cause: string) => {
      fence(partition.number, epoch);
      drop(partition.number, ending, cause);
    };
    const onFailed = (cause: string) => {
      onFenced(cause);
      host.renewMembership();
    };
    const owner = start(partition, epoch, {
      onFenced,
      onFailed,
      signal: ending.signal,
    });
    held.set(partition.number, { epoch, ending, owner });
  }

  /** Takes the domains without work once those with work are served. */
  async function takeUnused(assignment: Assignment): Promise<void> {
    await Promise.all([...held.values()].map(({ owner }) => owner));
    for (const partition of assignment.partitions) {
      if (assigned !== assignment || host.signal.aborted) return;
      await ownerAt(partition.number);
    }
  }

  /** The owner of a domain, which is taken over now if it was put off. */
  async function ownerAt(number: number): Promise<DomainOwner | undefined> {
    const partition = assigned.partitions.find((one) => one.number === number);
    if (partition !== undefined && mayTake(number, assigned.generation)) {
      take(partition, assigned.generation);
    }
    return await held.get(number)?.owner;
  }

  async function start(
    partition: Partition,
    epoch: number,
    ending: Pick<DomainOwnerHost, "onFenced" | "onFailed" | "signal">,
  ): Promise<DomainOwner | undefined> {
    const { signal } = ending;
    const taken = await takeOver({ ...host, partition, epoch, signal });
    if (taken.isErr()) {
      const { kind, message } = taken.error;
      if (kind === "sequence") ending.onFailed(message);
      else ending.onFenced(message);
      return undefined;
    }
    if (host.isInUse(partition.number)) host.onTaken(partition.number, epoch);
    return startDomainOwner({
      ...host,
      ...ending,
      partition,
      epoch,
      sequence: taken.value.sequence,
      servesDomain: (service) => host.servesDomain(service, partition.number),
    }, taken.value.domain);
  }

  return {
    ownerOf: ownerAt,
    async find(job) {
      for (const [partition, domain] of held) {
        if ((await domain.owner)?.knows(job)) return partition;
      }
      return undefined;
    },
    count: () => held.size,
    async owners() {
      const owners = await Promise.all(
        [...held.values()].map(({ owner }) => owner),
      );
      return owners.filter((owner) => owner !== undefined);
    },
    assign(assignment) {
      assigned = assignment;
      const { generation, partitions } = assignment;
      const numbers = new Set(partitions.map(({ number }) => number));
      const lost = [...held.keys()].filter((number) => !numbers.has(number));
      for (const number of lost) surrender(number);
      const isNew = ({ number }: Partition) => mayTake(number, generation);
      const used = partitions.filter(({ number }) => host.isInUse(number));
      for (const partition of used.filter(isNew)) take(partition, generation);
      if (partitions.some(isNew)) takeUnused(assignment);
    },
    release(partition, epoch) {
      fence(partition, epoch);
      const domain = held.get(partition);
      if (domain === undefined || domain.epoch > epoch) return;
      drop(partition, domain.ending, "a successor asked for it");
    },
    async close() {
      assigned = { generation: 0, partitions: [] };
      const numbers = [...held.keys()];
      await Promise.all(numbers.map((number) => giveUp(number, "stopping")));
    },
  };
}
