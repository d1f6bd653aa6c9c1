import { Buffer } from "node:buffer";

/**
 * Maximum size of one write, in bytes: that of an atomic write to a pipe. Some
 * readers discard the rest of a longer one.
 */
const MAX_WRITE_BYTES = 4_096;

/**
 * Joins log entries to portions that one write each can take. An entry that is
 * longer than a portion is a portion of its own.
 */
export function* joinIntoPortions(entries: string[]): Generator<Buffer> {
  let portion: string[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const entryBytes = Buffer.byteLength(entry);
    if (bytes > 0 && bytes + entryBytes > MAX_WRITE_BYTES) {
      yield Buffer.from(portion.join(""));
      portion = [];
      bytes = 0;
    }
    portion.push(entry);
    bytes += entryBytes;
  }
  if (bytes > 0) yield Buffer.from(portion.join(""));
}
