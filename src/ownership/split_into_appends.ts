import { type KeyedRecord, recordBytes } from "../hosts/mod.ts";

/** Size limit of the records of one append; the store's limit is 2 MiB. */
const MAX_APPEND_BYTES = 1_000_000;

/**
 * Splits records into those of several appends, each of at most 1 MB or of one
 * record.
 *
 * @example
 * ```ts
 * for (const part of splitIntoAppends(records)) await append(part);
 * ```
 */
export function* splitIntoAppends<Record extends KeyedRecord>(
  records: Record[],
): Generator<Record[]> {
  let part: Record[] = [];
  let partBytes = 0;
  for (const record of records) {
    const bytes = recordBytes(record);
    if (part.length > 0 && partBytes + bytes > MAX_APPEND_BYTES) {
      yield part;
      part = [];
      partBytes = 0;
    }
    part.push(record);
    partBytes += bytes;
  }
  if (part.length > 0) yield part;
}
