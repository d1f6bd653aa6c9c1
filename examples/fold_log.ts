/**
 * Embeds the fold of the log: two operators publish on the same base version,
 * and every reader finds the same winner, also one that reads an entry twice.
 *
 * @module
 */
import {
  createLogState,
  foldPage,
  type LogPage,
  type LogRecord,
  type Manifest,
  storeRecord,
} from "samphirestage";

const MANIFEST: Manifest = {
  customers: [{ name: "order-desk" }],
  agreements: [],
};

const records = [
  publication("uwimana", "build-1", -1),
  publication("uwimana", "build-2", 0),
  publication("derwent", "build-3", 0),
  // The answer to build-2 was lost, so its author published it again.
  publication("uwimana", "build-2", 0),
];

const state = createLogState();
foldPage(state, pageOf(records));
for (const { version, author, changeId, accepted } of state.history) {
  const verdict = accepted ? "accepted" : "lost the race";
  console.log(`version ${version} by ${author} (${changeId}): ${verdict}`);
}
console.log(`in force: version ${state.version}`);

const repeated = createLogState();
foldPage(repeated, pageOf(records.slice(0, 2)));
foldPage(repeated, pageOf(records));
console.log(`in force for a second reader: version ${repeated.version}`);

function publication(
  author: string,
  changeId: string,
  baseVersion: number,
): LogRecord {
  return {
    kind: "manifest",
    author,
    changeId,
    baseVersion,
    manifest: MANIFEST,
  };
}

function pageOf(records: LogRecord[]): LogPage {
  const entries = records.map((record, offset) => ({
    offset,
    atMs: offset,
    data: storeRecord(record),
  }));
  return { entries, firstOffset: 0, nextOffset: records.length };
}
