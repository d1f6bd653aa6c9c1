import { err } from "neverthrow";
import * as v from "valibot";
import { isAddress, parseAs } from "../base/mod.ts";
import type { KeyedRecord } from "../hosts/mod.ts";
import type { RelayPeer } from "../ownership/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** Schema of the announcement of an instance. */
const announcementSchema = v.object({
  /**
   * Ranks it as a candidate for ownership, in milliseconds: the shortest wait
   * ranks first.
   */
  candidateWaitMs: v.pipe(v.number(), v.finite()),
  zone: v.optional(v.string(), ""),
  /** Its processor share, in cores. */
  cores: v.optional(v.pipe(v.number(), v.finite()), 0),
  /** Base URL of its API for callers and operators. */
  url: v.optional(v.string()),
});

/** How many instances are remembered that have withdrawn theirs. */
const MAX_STOPPING = 50;

/** The announcement of an instance. */
export type Announcement = v.InferOutput<typeof announcementSchema>;

/** The entry instances that have announced themselves. */
export type InstanceList = {
  /** Returns all addresses: this instance first, then the best candidates. */
  addresses(): string[];
  /**
   * Returns the number of instances that are better candidates than this one,
   * without the excluded ones; undefined until this one has announced itself.
   */
  rank(excluded: string[]): number | undefined;
  /** Returns the other instances as possible relays to workers. */
  relayPeers(): RelayPeer[];
  /**
   * Returns the addresses of the last instances that have withdrawn their
   * announcement, which may still serve clients while they stop.
   */
  stopping(): string[];
  /** Returns the other instances with the URLs of their APIs. */
  members(): { address: string; url?: string }[];
  /**
   * Returns this instance's announcement if another instance has removed it;
   * undefined otherwise.
   */
  removedAnnouncement(): Announcement | undefined;
  /** Applies announcements; a record without a value removes its instance. */
  apply(records: KeyedRecord[]): void;
  /** Applies all announcements; instances without one are removed. */
  replace(records: KeyedRecord[]): void;
};

/**
 * Creates a list that contains only this instance. Records that are no
 * announcements are left out of it, each with a log entry.
 *
 * @example
 * ```ts
 * const list = createInstanceList("10.1.0.30:7380", logger);
 * ```
 */
export function createInstanceList(
  self: string,
  logger: PartLogger,
): InstanceList {
  const others = new Map<string, Announcement>();
  const stopping = new Set<string>();
  let own: Announcement | undefined;
  let isOwnRemoved = false;
  let orderedAddresses: string[] = [self];

  function applyRecord({ key, value }: KeyedRecord): void {
    if (value === undefined) {
      if (key === self) isOwnRemoved = true;
      else if (others.delete(key)) stopping.add(key);
      return;
    }
    const announcement = isAddress(key)
      ? parseAs(announcementSchema, value)
      : err("its key is no address");
    if (announcement.isErr()) {
      const reason = announcement.error;
      logger.warn("Skipped the announcement of an instance.", { key, reason });
      return;
    }
    if (key === self) {
      own = announcement.value;
      isOwnRemoved = false;
      return;
    }
    others.set(key, announcement.value);
    stopping.delete(key);
  }

  function apply(records: KeyedRecord[]): void {
    for (const record of records) applyRecord(record);
    for (const address of stopping) {
      if (stopping.size <= MAX_STOPPING) break;
      stopping.delete(address);
    }
    const byWait = [...others].sort(([, left], [, right]) =>
      left.candidateWaitMs - right.candidateWaitMs
    );
    orderedAddresses = [self, ...byWait.map(([address]) => address)];
  }

  return {
    addresses: () => orderedAddresses,
    rank(excluded) {
      if (own === undefined) return undefined;
      const ownWaitMs = own.candidateWaitMs;
      return [...others].filter(([address, { candidateWaitMs }]) =>
        !excluded.includes(address) &&
        (candidateWaitMs < ownWaitMs ||
          candidateWaitMs === ownWaitMs && address < self)
      ).length;
    },
    relayPeers: () =>
      [...others].map(([address, { zone, cores }]) => ({
        address,
        zone,
        cores,
      })),
    stopping: () => [...stopping],
    members: () =>
      [...others].map(([address, { url }]) => ({
        address,
        ...(url === undefined ? {} : { url }),
      })),
    removedAnnouncement: () => isOwnRemoved ? own : undefined,
    apply,
    replace(records) {
      const present = new Set(records.map(({ key }) => key));
      const known = [...others.keys(), ...(own === undefined ? [] : [self])];
      const removals = known.filter((key) => !present.has(key))
        .map((key) => ({ key, value: undefined }));
      apply([...removals, ...records]);
    },
  };
}
