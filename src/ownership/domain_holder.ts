/**
 * The domains that this instance owns at the moment: takes over what it is
 * assigned, and gives up what it is not.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import type { DomainOptions } from "../domain/mod.ts";
import type { Assignment, Partition } from "../hosts/mod.ts";
import {
  type DomainOwner,
  type DomainOwnerHost,
  startDomainOwner,
} from "./domain_owner.ts";
import { takeOver } from "./take_over.ts";

/** How long a domain that is given up may still write, in milliseconds. */
const SETTLE_MS = 400;

/** What a holder needs for each of its domains. */
export type DomainHolderHost =
  & Omit<
    DomainOwnerHost,
    "partition" | "epoch" | "sequence" | "servesDomain" | "onFenced"
  >
  & {
    options: DomainOptions;
    servesDomain(service: string, partition: number): boolean;
  };

/** The domains of this instance. */
export type DomainHolder = {
  /** The owner of a domain; undefined where it is not owned here. */
  ownerOf(partition: number): Promise<DomainOwner | undefined>;
  /** The partition of the domain owned here that knows a job. */
  find(job: string): Promise<number | undefined>;
  /** How many domains are owned here. */
  count(): number;
  /** Brings the domains up to an assignment. */
  assign(assignment: Assignment): Promise<void>;
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

  function drop(number: number, ending: AbortController, cause: string): void {
    ending.abort();
    const domain = held.get(number);
    if (domain?.ending !== ending) return;
    held.delete(number);
    host.logger.warn("Lost a domain to another owner.", {
      partition: number,
      epoch: domain.epoch,
      cause,
    });
  }

  function take(partition: Partition, epoch: number): void {
    const ending = new AbortController();
    // Every link and call of the domain listens to its end.
    setMaxListeners(0, ending.signal);
    host.signal.addEventListener("abort", () => ending.abort(), {
      signal: ending.signal,
    });
    const onFenced = (cause: string) => drop(partition.number, ending, cause);
    const owner = start(partition, epoch, ending.signal, onFenced);
    held.set(partition.number, { epoch, ending, owner });
  }

  async function start(
    partition: Partition,
    epoch: number,
    signal: AbortSignal,
    onFenced: (cause: string) => void,
  ): Promise<DomainOwner | undefined> {
    const taken = await takeOver({ ...host, partition, epoch, signal });
    if (taken.isErr()) {
      onFenced(taken.error.message);
      return undefined;
    }
    return startDomainOwner({
      ...host,
      partition,
      epoch,
      sequence: taken.value.sequence,
      servesDomain: (service) => host.servesDomain(service, partition.number),
      onFenced,
      signal,
    }, taken.value.domain);
  }

  return {
    ownerOf: async (partition) => await held.get(partition)?.owner,
    async find(job) {
      for (const [partition, domain] of held) {
        if ((await domain.owner)?.knows(job)) return partition;
      }
      return undefined;
    },
    count: () => held.size,
    async assign({ generation, partitions }) {
      const numbers = new Set(partitions.map(({ number }) => number));
      const lost = [...held.keys()].filter((number) => !numbers.has(number));
      await Promise.all(lost.map((number) => giveUp(number, "reassigned")));
      for (const partition of partitions) {
        if (!held.has(partition.number)) take(partition, generation);
      }
    },
    release(partition, epoch) {
      const domain = held.get(partition);
      if (domain === undefined || domain.epoch > epoch) return;
      drop(partition, domain.ending, "a successor asked for it");
    },
    async close() {
      const numbers = [...held.keys()];
      await Promise.all(numbers.map((number) => giveUp(number, "stopping")));
    },
  };
}
