import { assertNever } from "../base/mod.ts";
import type { LogEntry, LogPage } from "../hosts/mod.ts";
import { foldClaim, forgetClaims } from "./fold_claim.ts";
import { foldManifest } from "./fold_manifest.ts";
import {
  foldAccepted,
  foldAdopted,
  foldEnded,
  foldProgressed,
  foldVoided,
  forgetEnded,
} from "./fold_request.ts";
import { foldUsage, forgetUsage } from "./fold_usage.ts";
import type { LogRecord } from "./log_record.ts";
import type { LogState } from "./log_state.ts";
import {
  considerSnapshot,
  isCompleteSnapshot,
  restoreSnapshot,
} from "./snapshot.ts";
import { readRecord } from "./stored_record.ts";

/** What a page changed. */
export type FoldedPage = {
  /** Whether another manifest is in force than before. */
  manifestChanged: boolean;
  /** Whether the log had trimmed entries that this reader never saw. */
  gap: boolean;
};

/**
 * Folds a stretch of the log into a reader's state. Entries that were folded
 * before are skipped, so a page may be given again. After a gap the reader
 * looks for a snapshot up to the end of the log, restores the newest one and
 * sets `nextOffset` back to where that snapshot ends; the manifest in force
 * stays until a later one is known.
 *
 * @example
 * ```ts
 * const page = await log.read(state.nextOffset, 5_000, signal);
 * if (page.isOk()) foldPage(state, page.value);
 * ```
 *
 * @param page a read from `state.nextOffset` or from below it
 */
export function foldPage(state: LogState, page: LogPage): FoldedPage {
  const before = state.version;
  const gap = page.firstOffset > state.nextOffset;
  if (gap) enterGap(state, page);
  if (state.synced) foldEntries(state, page.entries);
  else scanForSnapshot(state, page);
  return { manifestChanged: state.version !== before, gap };
}

function enterGap(state: LogState, page: LogPage): void {
  state.synced = false;
  state.nextOffset = page.firstOffset;
}

function scanForSnapshot(state: LogState, page: LogPage): void {
  state.resumeOffset = page.firstOffset;
  for (const entry of page.entries) {
    if (entry.offset < state.nextOffset) continue;
    state.nextOffset = entry.offset + 1;
    considerSnapshot(state, entry.data);
  }
  if (state.nextOffset < page.nextOffset) return;
  if (!restoreSnapshot(state, page.firstOffset)) return;
  const start = page.entries[0]?.offset ?? page.nextOffset;
  if (start <= state.nextOffset) foldEntries(state, page.entries);
}

function foldEntries(state: LogState, entries: LogEntry[]): void {
  for (const entry of entries) {
    if (entry.offset < state.nextOffset) continue;
    state.nextOffset = entry.offset + 1;
    advanceClock(state, entry.atMs);
    const record = readRecord(entry.data);
    if (record !== undefined) foldRecord(state, entry.offset, record);
  }
}

/** Time is the log's own, so that every reader forgets at the same entry. */
function advanceClock(state: LogState, atMs: number): void {
  if (atMs <= state.clockMs) return;
  state.clockMs = atMs;
  forgetClaims(state);
  forgetEnded(state);
  forgetUsage(state.usage, atMs);
}

function foldRecord(state: LogState, offset: number, record: LogRecord): void {
  switch (record.kind) {
    case "manifest":
    case "manifestPatch":
      return foldManifest(state, offset, record);
    case "snapshot":
      if (!isCompleteSnapshot(record)) return;
      state.snapshotOffset = Math.max(state.snapshotOffset, record.upToOffset);
      return;
    case "claim":
      return foldClaim(state, record);
    case "accepted":
      return foldAccepted(state, record);
    case "adopted":
      return foldAdopted(state, record);
    case "progressed":
      return foldProgressed(state, record);
    case "voided":
      return foldVoided(state, record);
    case "ended":
      return foldEnded(state, record);
    case "usage":
      return foldUsage(state.usage, record, state.clockMs);
    default:
      return assertNever(record);
  }
}
