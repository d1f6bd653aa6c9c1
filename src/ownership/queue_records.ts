/**
 * Records of the queues whose jobs each domain may have. A queue can move to a
 * service of another domain, and another queue can take its address, but a job
 * stays in the domain that accepted it. The records tell where to look for it,
 * also to an instance that has never seen the earlier configuration.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as v from "valibot";
import { parseAs } from "../base/mod.ts";
import {
  type KeyedRecord,
  MAX_RECORD_BYTES,
  type Partition,
} from "../hosts/mod.ts";

/** The store partition of the queue records. */
export const QUEUES_PARTITION: Partition = { topic: "queues", number: 0 };

/** Room for what a record holds beside its queues, in bytes. */
const MARGIN_BYTES = 512;
const SEPARATOR_BYTES = 1;

const queueAddressSchema = v.object({
  queue: v.string(),
  /** Host and path prefix; absent for queues of the product's own API. */
  address: v.optional(v.string()),
});

/** A queue, and the address at which clients reach it. */
export type QueueAddress = v.InferOutput<typeof queueAddressSchema>;

/** Schema of the queues whose jobs an owner of a domain may have accepted. */
export const domainQueuesSchema = v.object({
  partition: v.number(),
  epoch: v.number(),
  queues: v.array(queueAddressSchema),
});

/** The queues whose jobs an owner of a domain may have accepted. */
export type DomainQueues = v.InferOutput<typeof domainQueuesSchema>;

/** The same, as it is in the store. */
export type QueueRecord = DomainQueues & { key: string };

/** The parsed queue records. */
export type QueueRecords = {
  records: QueueRecord[];
  /** The keys of records that cannot be parsed. */
  unreadable: string[];
};

/**
 * Creates the records of an owner. Each queue is in one of them, and none is
 * larger than the store accepts if each queue alone has room in a record.
 *
 * @param write number of the owner's first record among all that it writes; each
 * has a key of its own, so that a write that the store executes late replaces no
 * later one
 *
 * @example
 * ```ts
 * const records = createQueueRecords(3, 7, 1, queues);
 * ```
 */
export function createQueueRecords(
  partition: number,
  epoch: number,
  write: number,
  queues: QueueAddress[],
): KeyedRecord[] {
  const parts: QueueAddress[][] = [];
  let freeBytes = 0;
  for (const queue of queues) {
    const bytes = Buffer.byteLength(JSON.stringify(queue)) + SEPARATOR_BYTES;
    if (parts.length === 0 || bytes > freeBytes) {
      parts.push([]);
      freeBytes = MAX_RECORD_BYTES - MARGIN_BYTES;
    }
    parts.at(-1)!.push(queue);
    freeBytes -= bytes;
  }
  return parts.map((part, index) =>
    createQueueRecord(partition, epoch, write + index, part)
  );
}

/** Whether a queue has room in a record. */
export function isRecordable(queue: QueueAddress): boolean {
  return Buffer.byteLength(JSON.stringify(queue)) + MARGIN_BYTES <=
    MAX_RECORD_BYTES;
}

/** Creates one record of an owner. */
export function createQueueRecord(
  partition: number,
  epoch: number,
  write: number,
  queues: QueueAddress[],
): KeyedRecord {
  return {
    key: `${partition}/${epoch}/${write}`,
    value: JSON.stringify({ partition, epoch, queues }),
  };
}

/**
 * Parses the records; collects the keys of those that cannot be parsed.
 *
 * @example
 * ```ts
 * const { records } = parseQueueRecords(page.records);
 * ```
 */
export function parseQueueRecords(keyedRecords: KeyedRecord[]): QueueRecords {
  const parsed: QueueRecords = { records: [], unreadable: [] };
  for (const { key, value } of keyedRecords) {
    if (value === undefined) continue;
    parseAs(domainQueuesSchema, value).match(
      (record) => {
        parsed.records.push({ ...record, key });
      },
      () => {
        parsed.unreadable.push(key);
      },
    );
  }
  return parsed;
}

/**
 * Whether two queues may have jobs in common: those of one name, and those that
 * clients reach at one address, which a queue can take over from another one.
 *
 * @example
 * ```ts
 * isSameQueue({ queue: "proofs" }, { queue: "proofs", address: "a/b/" }); // true
 * ```
 */
export function isSameQueue(a: QueueAddress, b: QueueAddress): boolean {
  return a.queue === b.queue || hasSameAddress(a, b);
}

/** Whether clients reach two queues at one address. */
export function hasSameAddress(a: QueueAddress, b: QueueAddress): boolean {
  return a.address !== undefined && a.address === b.address;
}
