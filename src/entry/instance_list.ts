import * as v from "valibot";
import type { KeyedRecord } from "../hosts/mod.ts";
import type { RelayPeer } from "../ownership/mod.ts";

/** Schema of what an instance announces of itself. */
const announcementSchema = v.object({
  /** How long it holds back as a candidate for ownership, in ms. */
  candidateWaitMs: v.number(),
  zone: v.optional(v.string(), ""),
  /** Its processor, in cores. */
  cores: v.optional(v.number(), 0),
  /** Base URL of its interface for callers and operators. */
  url: v.optional(v.string()),
});

/** What an instance announces of itself. */
export type Announcement = v.InferOutput<typeof announcementSchema>;

/** The entry instances that have announced themselves. */
export type InstanceList = {
  /** Addresses of all of them, this one first, the best owners next. */
  addresses(): string[];
  /**
   * How many instances are better owners than this one, those left out aside;
   * undefined until this one has announced itself.
   */
  rank(excluded: string[]): number | undefined;
  /** The other instances, as holders of links to workers. */
  relayPeers(): RelayPeer[];
  /** The other instances, with the URLs of their interfaces. */
  members(): { address: string; url?: string }[];
  apply(records: KeyedRecord[]): void;
};

/**
 * Creates a list that knows this instance only.
 *
 * @example
 * ```ts
 * const list = createInstanceList("10.1.0.30:7380");
 * ```
 */
export function createInstanceList(self: string): InstanceList {
  const others = new Map<string, Announcement>();
  let ownWaitMs: number | undefined;
  let orderedAddresses: string[] = [self];
  return {
    addresses: () => orderedAddresses,
    rank(excluded) {
      const own = ownWaitMs;
      if (own === undefined) return undefined;
      return [...others].filter(([address, { candidateWaitMs }]) =>
        !excluded.includes(address) &&
        (candidateWaitMs < own || candidateWaitMs === own && address < self)
      ).length;
    },
    relayPeers: () =>
      [...others].map(([address, { zone, cores }]) => ({
        address,
        zone,
        cores,
      })),
    members: () =>
      [...others].map(([address, { url }]) => ({
        address,
        ...(url === undefined ? {} : { url }),
      })),
    apply(records) {
      for (const { key, value } of records) {
        if (key === self) {
          if (value !== undefined) {
            ownWaitMs = parseAnnouncement(value).candidateWaitMs;
          }
          continue;
        }
        if (value === undefined) others.delete(key);
        else others.set(key, parseAnnouncement(value));
      }
      const byWait = [...others].sort(([, left], [, right]) =>
        left.candidateWaitMs - right.candidateWaitMs
      );
      orderedAddresses = [self, ...byWait.map(([address]) => address)];
    },
  };
}

/** An announcement that cannot be read puts its instance last. */
function parseAnnouncement(text: string): Announcement {
  const worstCandidate = { candidateWaitMs: Infinity, zone: "", cores: 0 };
  try {
    const parsed = v.safeParse(announcementSchema, JSON.parse(text));
    return parsed.success ? parsed.output : worstCandidate;
  } catch {
    return worstCandidate;
  }
}
