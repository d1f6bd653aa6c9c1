/**
 * The allotments of client accounts: how much of the cap of each account the
 * tasks of each domain may allocate. All allotments of an account add up to at
 * most its cap. A record belongs to a domain and not to its owner: a new owner
 * continues it. See docs/design/caps.md.
 *
 * @module
 */
import * as v from "valibot";
import { parseAs } from "../../base/mod.ts";
import type { KeyedRecord, Partition } from "../../hosts/mod.ts";
import { resourcesSchema } from "../../model/mod.ts";

/** The store partition of the allotments. */
export const ALLOTMENTS_PARTITION: Partition = {
  topic: "allotments",
  number: 0,
};

const requestSchema = v.object({
  /** Position among the requests of all domains; the lowest is served first. */
  order: v.number(),
  /** What other domains make room for, once it is this request's turn. */
  claimed: resourcesSchema,
  /** What the domain needs besides, if other domains leave it unused. */
  spare: resourcesSchema,
  /**
   * Whether the claim was served and its step has yet to start; until then, no
   * later claim takes the room.
   */
  isServed: v.optional(v.boolean()),
});

/** A request of a domain for more of an account's cap. */
export type AllotmentRequest = v.InferOutput<typeof requestSchema>;

const allotmentSchema = v.object({
  /** What the tasks of the domain may allocate; 0 where there is no cap. */
  held: resourcesSchema,
  request: v.optional(requestSchema),
});

/** The share of a domain in the cap of one account. */
export type Allotment = v.InferOutput<typeof allotmentSchema>;

/** Schema of the allotments of a domain. */
export const allotmentRecordSchema = v.object({
  /** The epoch of the owner that has written the record. */
  epoch: v.number(),
  accounts: v.record(v.string(), allotmentSchema),
});

/** The allotments of a domain, by account. */
export type AllotmentRecord = {
  epoch: number;
  accounts: Map<string, Allotment>;
};

/** Creates the stored form of the allotments of a domain. */
export function createAllotmentRecord(
  partition: number,
  { epoch, accounts }: AllotmentRecord,
): KeyedRecord {
  const value = { epoch, accounts: Object.fromEntries(accounts) };
  return { key: `${partition}`, value: JSON.stringify(value) };
}

/**
 * Applies records to the known allotments, by partition of the domain.
 *
 * @returns the keys of records that cannot be parsed; they change nothing
 *
 * @example
 * ```ts
 * const unreadable = applyAllotmentRecords(known, page.records);
 * ```
 */
export function applyAllotmentRecords(
  known: Map<number, AllotmentRecord>,
  records: KeyedRecord[],
): string[] {
  const unreadable: string[] = [];
  for (const { key, value } of records) {
    const partition = Number(key);
    if (!Number.isInteger(partition)) unreadable.push(key);
    else if (value === undefined) known.delete(partition);
    else {
      parseAs(allotmentRecordSchema, value).match(
        ({ epoch, accounts }) => {
          const byName = new Map(Object.entries(accounts));
          known.set(partition, { epoch, accounts: byName });
        },
        () => {
          unreadable.push(key);
        },
      );
    }
  }
  return unreadable;
}
