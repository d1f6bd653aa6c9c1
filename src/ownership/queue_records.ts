/**
 * Records of the queues whose jobs each domain may have. A queue can move to a
 * service of another domain, and another queue can take its address, but a job
 * stays in the domain that accepted it. The records tell where to look for it,
 * also to an instance that has never seen the earlier configuration.
 *
 * @module
 */
import * as v from "valibot";
import { parseAs } from "../base/mod.ts";
import type { KeyedRecord, Partition } from "../hosts/mod.ts";

/** The store partition of the queue records. */
export const QUEUES_PARTITION: Partition = { topic: "queues", number: 0 };

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
 * Creates the record of an owner.
 *
 * @param write number of the owner's write; each has a key of its own, so that
 * a write that the store executes late replaces no later one
 */
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
