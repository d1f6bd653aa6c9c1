import { Buffer } from "node:buffer";
import { MAX_RECORD_BYTES } from "../../hosts/mod.ts";
import type { Allotment } from "./allotment_records.ts";

/** Room for what a record holds beside its allotments, in bytes. */
const MARGIN_BYTES = 512;
/**
 * The most bytes of an allotment beside the name of its account, at the largest
 * numbers, and of a UTF-16 code unit of the name.
 */
const MAX_ALLOTMENT_BYTES = 512;
const MAX_BYTES_PER_UNIT = 6;

/** How much depends on the allotment of an account. */
export type AllotmentUse =
  /** Tasks of it run, or may run without a record. */
  | "running"
  /** Work waits for it. */
  | "waiting"
  /** The domain holds it, but uses nothing of it. */
  | "unused"
  /** The domain does not hold it yet. */
  | "absent";

const USES: readonly AllotmentUse[] = [
  "running",
  "waiting",
  "unused",
  "absent",
];

/**
 * Chooses the allotments that have room in the record of a domain. Those that
 * more depends on go first; an account without one gets it once its work waits.
 *
 * @example
 * ```ts
 * const fitting = fitAllotments(planned, (account) => "unused");
 * ```
 */
export function fitAllotments(
  planned: Map<string, Allotment>,
  useOf: (account: string) => AllotmentUse,
): Map<string, Allotment> {
  const maxBytes = MAX_RECORD_BYTES - MARGIN_BYTES;
  const bytes = [...planned.keys()].reduce(
    (sum, account) => sum + maxEntryBytes(account),
    0,
  );
  if (bytes <= maxBytes) return planned;
  const kept = new Set<string>();
  let freeBytes = maxBytes;
  const ranked = [...planned.keys()].map((account) => ({
    account,
    rank: USES.indexOf(useOf(account)),
  })).sort((left, right) => left.rank - right.rank);
  for (const { account } of ranked) {
    const entry = { [account]: planned.get(account) };
    const entryBytes = Buffer.byteLength(JSON.stringify(entry));
    if (entryBytes > freeBytes) continue;
    freeBytes -= entryBytes;
    kept.add(account);
  }
  return new Map([...planned].filter(([account]) => kept.has(account)));
}

function maxEntryBytes(account: string): number {
  return account.length * MAX_BYTES_PER_UNIT + MAX_ALLOTMENT_BYTES;
}
