import { recordBytes, type StoreFault } from "../hosts/mod.ts";
import { type DomainRecord, recordGroupOf } from "../domain/mod.ts";

/**
 * Sent in place of records that the store rejects, so that the sequence number
 * of their append is used: it deletes a key that never exists.
 */
const PLACEHOLDER: DomainRecord = { key: "rejected", value: undefined };

/** What an append sends, from which rejected records are omitted. */
export type AppendContent = {
  /** The records to send; never empty. */
  remaining(): DomainRecord[];
  /** The records that are omitted. */
  rejected(): DomainRecord[];
  /**
   * Omits the records for which the store has rejected the append.
   *
   * @returns whether the rest may be sent; if the store rejects any append, none
   * of the records is at fault, and all of them are to be sent again later
   */
  omit(fault: Pick<StoreFault, "rejectedKeys">): boolean;
};

/**
 * Creates the content of an append. Where the store does not name the records at
 * fault, the largest ones are omitted, twice as many each time. With a record go
 * all others of its job: without the end of a job, the deletion of its steps
 * would let a later owner run its tasks again.
 *
 * @example
 * ```ts
 * const content = createAppendContent(records);
 * if (content.omit(fault)) send(content.remaining());
 * ```
 */
export function createAppendContent(records: DomainRecord[]): AppendContent {
  let remaining = records;
  let rejected: DomainRecord[] = [];
  let omitCount = 1;
  return {
    remaining: () => remaining.length === 0 ? [PLACEHOLDER] : remaining,
    rejected: () => rejected,
    omit({ rejectedKeys }) {
      if (remaining.length === 0) {
        remaining = records;
        rejected = [];
        omitCount = 1;
        return false;
      }
      const keys = rejectedKeys ?? largestKeys(remaining, omitCount);
      const groups = new Set(keys.map(recordGroupOf));
      const isOmitted = ({ key }: DomainRecord) =>
        groups.has(recordGroupOf(key));
      if (!remaining.some(isOmitted)) return false;
      if (rejectedKeys === undefined) omitCount *= 2;
      rejected = [...rejected, ...remaining.filter(isOmitted)];
      remaining = remaining.filter((record) => !isOmitted(record));
      return true;
    },
  };
}

function largestKeys(records: DomainRecord[], count: number): string[] {
  return records.toSorted((left, right) =>
    recordBytes(right) - recordBytes(left)
  ).slice(0, count).map(({ key }) => key);
}
