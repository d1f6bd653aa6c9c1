/**
 * Snapshots: the fold up to an offset, written back into the log so that a
 * reader can begin there once the older entries are trimmed.
 *
 * @module
 */
import * as v from "valibot";
import type { LogPage } from "../hosts/mod.ts";
import type { Claim } from "./claim.ts";
import { claimName } from "./fold_claim.ts";
import { applyManifest } from "./fold_manifest.ts";
import { logRecordSchema, type SnapshotRecord } from "./log_record.ts";
import type { LogState } from "./log_state.ts";
import { packRequest, unpackRequest } from "./packed_request.ts";
import { type SnapshotState, snapshotStateSchema } from "./snapshot_state.ts";
import { decodeUsage, encodeUsage } from "./snapshot_usage.ts";

/**
 * Takes a snapshot for the log. Repeats, also by several readers, are
 * harmless. The snapshot of a reader that is not synced tells all that it
 * knows and is marked as incomplete; readers that are synced ignore it.
 *
 * @example
 * ```ts
 * if (needsSnapshot(state, page)) await commit.append(takeSnapshot(state));
 * ```
 */
export function takeSnapshot(state: LogState): SnapshotRecord {
  const { version, entry } = state.synced
    ? state.folded
    : { version: state.version, entry: state.inForce };
  const data: SnapshotState = {
    complete: state.synced,
    clockMs: state.clockMs,
    version,
    ...(entry === undefined ? {} : { inForce: entry }),
    history: state.history,
    claims: [...state.claims.values()],
    requests: [...state.requests.values()].map((accepted) => ({
      ...accepted,
      request: packRequest(accepted.request),
    })),
    ended: [...state.ended].map(([requestId, atMs]) => ({ requestId, atMs })),
    outcomes: [...state.outcomes.values()],
    usage: encodeUsage(state.usage),
  };
  return {
    kind: "snapshot",
    upToOffset: state.synced ? state.nextOffset : state.resumeOffset,
    state: structuredClone(data),
  };
}

/**
 * Tells whether the log needs another snapshot: the newest one covers less
 * than half of the entries that the log still keeps.
 *
 * @example
 * ```ts
 * needsSnapshot(state, page) && isFirstMember(self, members);
 * ```
 *
 * @param page the page that was folded last
 */
export function needsSnapshot(state: LogState, page: LogPage): boolean {
  if (!state.synced) return false;
  if (state.nextOffset < page.nextOffset) return false;
  const keptEntries = page.nextOffset - page.firstOffset;
  const middle = page.firstOffset + Math.floor(keptEntries / 2);
  return state.snapshotOffset < middle;
}

/**
 * Tells whether this reader has read the log to its end after a gap and found
 * no snapshot to go on from. Where this holds for every reader, one of them
 * has to append its own snapshot, incomplete as it is.
 *
 * @example
 * ```ts
 * if (needsRepair(state, page) && nobodyElseIsSynced) {
 *   await commit.append(takeSnapshot(state));
 * }
 * ```
 *
 * @param page the page that was folded last
 */
export function needsRepair(state: LogState, page: LogPage): boolean {
  return !state.synced && state.nextOffset >= page.nextOffset;
}

/**
 * Tells whether a snapshot was taken by a reader that missed nothing.
 *
 * @example
 * ```ts
 * if (isCompleteSnapshot(record)) usable.push(record);
 * ```
 */
export function isCompleteSnapshot(record: SnapshotRecord): boolean {
  const { state } = record;
  return typeof state === "object" && state !== null &&
    "complete" in state && state.complete === true;
}

/**
 * Notes an entry's data where it is a better snapshot to go on from than the
 * one noted before: a complete one before an incomplete one, a later one
 * before an earlier one.
 *
 * @example
 * ```ts
 * considerSnapshot(state, entry.data);
 * ```
 */
export function considerSnapshot(state: LogState, data: unknown): void {
  const record = parseSnapshot(data);
  if (record === undefined) return;
  const { candidate } = state;
  const isWorse = candidate !== undefined &&
    isCompleteSnapshot(candidate) && !isCompleteSnapshot(record);
  if (!isWorse) state.candidate = record;
}

/**
 * Restores the noted snapshot, if the log still keeps all that follows it.
 *
 * @example
 * ```ts
 * if (restoreSnapshot(state, page.firstOffset)) readFrom(state.nextOffset);
 * ```
 *
 * @returns whether the state is synced now
 */
export function restoreSnapshot(
  state: LogState,
  firstOffset: number,
): boolean {
  const { candidate } = state;
  if (candidate === undefined) return false;
  state.candidate = undefined;
  if (candidate.upToOffset < firstOffset) return false;
  const parsed = v.safeParse(snapshotStateSchema, candidate.state);
  if (!parsed.success) return false;
  replaceState(state, candidate.upToOffset, parsed.output);
  return true;
}

function parseSnapshot(data: unknown): SnapshotRecord | undefined {
  if (typeof data !== "object" || data === null) return undefined;
  if (!("kind" in data) || data.kind !== "snapshot") return undefined;
  const parsed = v.safeParse(logRecordSchema, data);
  if (!parsed.success || parsed.output.kind !== "snapshot") return undefined;
  return parsed.output;
}

function replaceState(
  state: LogState,
  upToOffset: number,
  data: SnapshotState,
): void {
  state.nextOffset = upToOffset;
  state.synced = true;
  state.snapshotOffset = data.complete ? upToOffset : -1;
  state.clockMs = data.clockMs;
  state.folded = { version: data.version, entry: data.inForce };
  if (data.inForce !== undefined) {
    applyManifest(state, data.version, data.inForce);
  }
  state.history = data.history;
  state.claims = new Map(data.claims.map(nameClaim));
  state.requests = new Map(
    data.requests.map((accepted) => [
      accepted.request.id,
      { ...accepted, request: unpackRequest(accepted.request) },
    ]),
  );
  state.ended = new Map(
    data.ended.map(({ requestId, atMs }) => [requestId, atMs]),
  );
  state.outcomes = new Map(
    data.outcomes.map((ended) => [ended.requestId, ended]),
  );
  state.usage = decodeUsage(data.usage);
}

function nameClaim(claim: Claim): [string, Claim] {
  return [claimName(claim.customer, claim.key), claim];
}
