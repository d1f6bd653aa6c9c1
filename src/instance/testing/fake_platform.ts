/**
 * The platform's log and instance list on a simulated clock.
 *
 * @module
 */
import type {
  InstanceList,
  ListedInstance,
  LogEntry,
  LogPage,
} from "../../hosts/mod.ts";
import { type LogRecord, storeRecord } from "../../log_state/mod.ts";
import type { FakeWorker } from "./fake_worker.ts";

/** The platform's services. */
export type FakePlatform = {
  logDown: boolean;
  entries: LogEntry[];
  /** Reads that wait for an entry. */
  readers: (() => void)[];
  /** The list as it was, the latest last. */
  lists: InstanceList[];
};

/** Creates a platform with an empty log. */
export function createFakePlatform(): FakePlatform {
  return { logDown: false, entries: [], readers: [], lists: [] };
}

/** Appends a record, and wakes the readers. */
export function appendEntry(
  platform: FakePlatform,
  record: LogRecord,
  atMs: number,
): number {
  const offset = platform.entries.length;
  const data = JSON.parse(JSON.stringify(storeRecord(record)));
  platform.entries.push({ offset, atMs, data });
  for (const wake of platform.readers.splice(0)) wake();
  return offset;
}

/** Reads the log from an offset. */
export function readEntries(
  platform: FakePlatform,
  fromOffset: number,
): LogPage {
  return {
    entries: platform.entries.slice(fromOffset),
    firstOffset: 0,
    nextOffset: platform.entries.length,
  };
}

/** Notes what the list shows from now on. */
export function publishList(
  platform: FakePlatform,
  instances: ListedInstance[],
  workers: FakeWorker[],
  asOfMs: number,
): void {
  platform.lists.push({
    asOfMs,
    instances,
    workers: workers.filter((worker) => worker.listed).map((worker) => ({
      ...worker.address,
      leaving: worker.leaving,
    })),
  });
}

/** Reads the list as it was a while ago. */
export function readOldList(
  platform: FakePlatform,
  asOfMs: number,
): InstanceList {
  const old = platform.lists.findLast((list) => list.asOfMs <= asOfMs);
  return { ...(old ?? platform.lists[0]!), asOfMs };
}
