/**
 * Records as they are stored in the log, which is more compact than as the
 * rest of the program handles them.
 *
 * @module
 */
import * as v from "valibot";
import { type LogRecord, logRecordSchema } from "./log_record.ts";
import {
  packedRequestSchema,
  packRequest,
  unpackRequest,
} from "./packed_request.ts";
import { packedUsageSchema, packUsage, unpackUsage } from "./packed_usage.ts";

const storedRecordSchema = v.variant("kind", [
  logRecordSchema,
  v.object({ kind: v.literal("packed"), request: packedRequestSchema }),
  v.object({ kind: v.literal("packedUsage"), usage: packedUsageSchema }),
]);

/** A record as it is stored in the log. */
export type StoredRecord = v.InferOutput<typeof storedRecordSchema>;

/**
 * Gives the form in which a record is appended to the log.
 *
 * @example
 * ```ts
 * await log.append([storeRecord(record)], signal);
 * ```
 */
export function storeRecord(record: LogRecord): StoredRecord {
  switch (record.kind) {
    case "accepted":
      return { kind: "packed", request: packRequest(record.request) };
    case "usage":
      return { kind: "packedUsage", usage: packUsage(record) };
    default:
      return record;
  }
}

/**
 * Reads an entry of the log.
 *
 * @example
 * ```ts
 * const record = readRecord(entry.data);
 * ```
 *
 * @returns the record, or undefined where the data is not one of ours
 */
export function readRecord(data: unknown): LogRecord | undefined {
  const parsed = v.safeParse(storedRecordSchema, data);
  if (!parsed.success) return undefined;
  const record = parsed.output;
  switch (record.kind) {
    case "packed":
      return { kind: "accepted", request: unpackRequest(record.request) };
    case "packedUsage":
      return unpackUsage(record.usage);
    default:
      return record;
  }
}
