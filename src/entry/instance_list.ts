import * as v from "valibot";
import type { KeyedRecord } from "../hosts/mod.ts";

/** Schema of what an instance announces of itself. */
const announcementSchema = v.object({
  /** How long it holds back as a candidate for ownership, in ms. */
  candidateWaitMs: v.number(),
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
  rank(leftOut: string[]): number | undefined;
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
  const others = new Map<string, number>();
  let ownWaitMs: number | undefined;
  const inOrder = () =>
    [...others].sort(([, left], [, right]) => left - right)
      .map(([address]) => address);
  return {
    addresses: () => [self, ...inOrder()],
    rank(leftOut) {
      const own = ownWaitMs;
      if (own === undefined) return undefined;
      return [...others].filter(([address, waitMs]) =>
        !leftOut.includes(address) &&
        (waitMs < own || waitMs === own && address < self)
      ).length;
    },
    apply(records) {
      for (const { key, value } of records) {
        if (key === self) {
          if (value !== undefined) ownWaitMs = readWait(value);
          continue;
        }
        if (value === undefined) others.delete(key);
        else others.set(key, readWait(value));
      }
    },
  };
}

/** An announcement that cannot be read puts its instance last. */
function readWait(text: string): number {
  try {
    const parsed = v.safeParse(announcementSchema, JSON.parse(text));
    return parsed.success ? parsed.output.candidateWaitMs : Infinity;
  } catch {
    return Infinity;
  }
}
