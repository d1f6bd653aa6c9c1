import * as v from "valibot";
import type { KeyedRecord } from "../hosts/mod.ts";
import type { RelayPeer } from "../ownership/mod.ts";

/** Schema of the announcement of an instance. */
const announcementSchema = v.object({
  /**
   * Ranks it as a candidate for ownership, in milliseconds: the shortest wait
   * ranks first.
   */
  candidateWaitMs: v.number(),
  zone: v.optional(v.string(), ""),
  /** Its processor share, in cores. */
  cores: v.optional(v.number(), 0),
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
 * Creates a list that contains only this instance.
 *
 * @example
 * ```ts
 * const list = createInstanceList("10.1.0.30:7380");
 * ```
 */
export function createInstanceList(self: string): InstanceList {
  const others = new Map<string, Announcement>();
  const stopping = new Set<string>();
  let own: Announcement | undefined;
  let isOwnRemoved = false;
  let orderedAddresses: string[] = [self];

  function apply(records: KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key === self) {
        isOwnRemoved = value === undefined;
        if (value !== undefined) own = parseAnnouncement(value);
        continue;
      }
      if (value === undefined) {
        others.delete(key);
        stopping.add(key);
      } else {
        others.set(key, parseAnnouncement(value));
        stopping.delete(key);
      }
    }
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

/** Parses an announcement; an unreadable one ranks its instance last. */
function parseAnnouncement(text: string): Announcement {
  const worstCandidate = { candidateWaitMs: Infinity, zone: "", cores: 0 };
  try {
    const parsed = v.safeParse(announcementSchema, JSON.parse(text));
    return parsed.success ? parsed.output : worstCandidate;
  } catch {
    return worstCandidate;
  }
}
