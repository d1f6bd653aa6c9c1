import { Buffer } from "node:buffer";
import type { KeyedRecord } from "./store_host.ts";

/** The longest key that the store accepts, in bytes. */
export const MAX_KEY_BYTES = 255;
/** The largest record that the store accepts, in bytes. */
export const MAX_RECORD_BYTES = 262_144;
/** Size of the key's length in a record, in bytes. */
const KEY_LENGTH_BYTES = 1;

/**
 * Returns the size of a record in the store, in bytes.
 *
 * @example
 * ```ts
 * recordBytes({ key: "job/1", value: "{}" }); // 8
 * ```
 */
export function recordBytes({ key, value = "" }: KeyedRecord): number {
  return KEY_LENGTH_BYTES + Buffer.byteLength(key) + Buffer.byteLength(value);
}

/**
 * Whether the store accepts a record of this size.
 *
 * @example
 * ```ts
 * const refused = records.filter((record) => !isStorable(record));
 * ```
 */
export function isStorable(record: KeyedRecord): boolean {
  return Buffer.byteLength(record.key) <= MAX_KEY_BYTES &&
    recordBytes(record) <= MAX_RECORD_BYTES;
}

/**
 * Returns how many bytes the value of a key may have.
 *
 * @example
 * ```ts
 * maxValueBytes("job/1"); // 262138
 * ```
 */
export function maxValueBytes(key: string): number {
  return MAX_RECORD_BYTES - recordBytes({ key, value: undefined });
}
