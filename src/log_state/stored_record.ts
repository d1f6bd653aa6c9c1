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

const storedRecordSchema = v.variant("kind", [
  logRecordSchema,
  v.object({ kind: v.literal("packed"), request: packedRequestSchema }),
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
  if (record.kind !== "accepted") return record;
  return { kind: "packed", request: packRequest(record.request) };
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
  if (record.kind !== "packed") return record;
  return { kind: "accepted", request: unpackRequest(record.request) };
}
