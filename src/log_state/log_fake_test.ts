/**
 * A small log in memory for the tests of the fold, with generators of records.
 *
 * @module
 */
import * as fc from "fast-check";
import type { LogEntry, LogPage } from "../hosts/mod.ts";
import type { Agreement } from "../model/mod.ts";
import {
  createLogState,
  foldPage,
  HOUR_MS,
  type LogRecord,
  type LogState,
  needsSnapshot,
  takeSnapshot,
} from "./mod.ts";

/** The seed of the property tests. */
export const SEED = 20_261_204;

const START_MS = Date.UTC(2026, 11, 1);
const ENTRY_GAP_MS = 41 * 60_000;

/** A log in memory. */
export type LogFake = {
  entries: LogEntry[];
  firstOffset: number;
  nextOffset: number;
};

/** Creates an empty log. */
export function createLogFake(): LogFake {
  return { entries: [], firstOffset: 0, nextOffset: 0 };
}

/** Appends one record, a fixed time after the last one. */
export function appendFake(log: LogFake, record: unknown): number {
  const offset = log.nextOffset;
  const atMs = START_MS + offset * ENTRY_GAP_MS;
  log.entries.push({ offset, atMs, data: structuredClone(record) });
  log.nextOffset += 1;
  return offset;
}

/** Drops the entries below an offset. */
export function trimFake(log: LogFake, firstOffset: number): void {
  log.firstOffset = Math.max(log.firstOffset, firstOffset);
  log.entries = log.entries.filter(({ offset }) => offset >= log.firstOffset);
}

/** Reads at most `limit` entries from an offset. */
export function readFake(
  log: LogFake,
  fromOffset: number,
  limit: number,
): LogPage {
  return {
    entries: log.entries
      .filter(({ offset }) => offset >= fromOffset)
      .slice(0, limit),
    firstOffset: log.firstOffset,
    nextOffset: log.nextOffset,
  };
}

/** Reads to the end of the log, page by page. */
export function catchUp(log: LogFake, state: LogState, limit: number): LogPage {
  for (let reads = 0; reads < 10_000; reads += 1) {
    const page = readFake(log, state.nextOffset, limit);
    foldPage(state, page);
    if (state.nextOffset >= log.nextOffset) return page;
  }
  throw new Error("the reader never reached the end of the log");
}

/** Appends a snapshot where the reader says that the log needs one. */
export function snapshotIfNeeded(
  log: LogFake,
  state: LogState,
  page: LogPage,
): void {
  if (needsSnapshot(state, page)) appendFake(log, takeSnapshot(state));
}

/** Folds a whole log in one page. */
export function foldAll(log: LogFake): LogState {
  const state = createLogState();
  catchUp(log, state, Number.MAX_SAFE_INTEGER);
  return state;
}

/** All that a reader folded, without its notes on snapshots. */
export function contentOf(state: LogState): unknown {
  const { snapshotOffset: _, resumeOffset: __, candidate: ___, ...content } =
    state;
  return content;
}

const name = fc.constantFrom("a", "b", "c");

const usageItem = fc.record({
  worker: fc.constantFrom("w1", "w2"),
  token: fc.integer({ min: 1, max: 2 }),
  hourMs: fc.integer({ min: 0, max: 6 }).map((hour) =>
    START_MS + hour * HOUR_MS
  ),
  customer: name,
  agreement: name,
  cpuMillisMs: fc.integer({ min: 0, max: 100 }),
  memoryMbMs: fc.integer({ min: 0, max: 100 }),
  acceleratorMs: fc.integer({ min: 0, max: 100 }),
});

const observedItem = fc.record({
  worker: fc.constantFrom("w1", "w2"),
  token: fc.integer({ min: 1, max: 2 }),
  hourMs: fc.integer({ min: 0, max: 6 }).map((hour) =>
    START_MS + hour * HOUR_MS
  ),
  observedMs: fc.integer({ min: 0, max: HOUR_MS }),
});

/** A time within the retention of every generated usage record. */
export const USAGE_CLOCK_MS = START_MS + 24 * HOUR_MS;

/** Usage records of two workers in a few hours. */
export const usageRecordArbitrary = fc.record({
  kind: fc.constant("usage" as const),
  observer: name,
  usage: fc.array(usageItem, { maxLength: 6 }),
  observed: fc.array(observedItem, { maxLength: 6 }),
});

/** Any record but a manifest or a snapshot. */
export const recordArbitrary: fc.Arbitrary<LogRecord> = fc.oneof(
  fc.record({
    kind: fc.constant("claim" as const),
    customer: name,
    key: name,
    digest: name,
    requestId: name,
  }),
  name.map((id): LogRecord => ({ kind: "accepted", request: requestOf(id) })),
  fc.record({
    kind: fc.constant("adopted" as const),
    requestId: name,
    epoch: fc.integer({ min: 1, max: 3 }),
    holder: fc.constantFrom("i1/1", "i2/1"),
  }),
  fc.record({ requestId: name, holder: fc.constantFrom("i1/1", "i2/1") })
    .map((record): LogRecord => ({
      kind: "ended",
      ...record,
      outcome: { kind: "ran", tasks: [] },
    })),
  fc.record({
    kind: fc.constant("voided" as const),
    requestId: name,
  }),
  usageRecordArbitrary,
);

/** A manifest that names one customer. */
export function manifestRecord(
  changeId: string,
  baseVersion: number,
): LogRecord {
  return {
    kind: "manifest",
    changeId,
    baseVersion,
    author: `author of ${changeId}`,
    manifest: {
      customers: [{ name: changeId }],
      agreements: [agreementOf("a"), agreementOf(changeId)],
    },
  };
}

/** An agreement of a customer. */
export function agreementOf(customer: string): Agreement {
  return {
    name: "a",
    customer,
    share: { cpuMillis: 3_000, memoryMb: 5, accelerators: 1 },
    work: [{
      name: "batch",
      policy: { kind: "batch" },
      urgency: 1,
      idempotent: true,
      durable: true,
      demand: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
      durationMs: 1,
    }],
  };
}

function requestOf(id: string) {
  return {
    id,
    customer: "a",
    agreement: "a",
    work: "a",
    digest: "d",
    durable: true,
    acceptedAtMs: START_MS,
    tasks: [],
  };
}
