import { assertNever } from "../base/mod.ts";
import type { Manifest } from "../model/mod.ts";
import type { LogRecordOf } from "./log_record.ts";
import type { LogState } from "./log_state.ts";
import type { ManifestEntry } from "./manifest_entry.ts";
import { applyPatch, diffManifests } from "./manifest_patch.ts";
import { addAgreed } from "./usage_day.ts";

/** How many published changes are kept for the history and for verdicts. */
export const MAX_HISTORY_ENTRIES = 1_000;

/** What the log decided about a published change. */
export type ManifestVerdict =
  | { kind: "won"; version: number }
  | { kind: "lost"; versionInForce: number }
  /** The change was not read back from the log yet. */
  | { kind: "pending" };

/** A change of the manifest that an operator publishes. */
export type ManifestChange = ManifestEntry & {
  /** The version that the change was built on; -1 for none. */
  baseVersion: number;
};

/**
 * Makes the record of a change: by its difference where the base version is
 * the one in force in the log, in whole otherwise.
 *
 * @example
 * ```ts
 * const record = manifestRecordOf(state, change);
 * await commit.append(record, signal);
 * ```
 */
export function manifestRecordOf(
  state: LogState,
  change: ManifestChange,
): LogRecordOf<"manifest" | "manifestPatch"> {
  const { changeId, baseVersion, author, manifest } = change;
  const { version, entry } = state.folded;
  const patch = entry !== undefined && version === baseVersion
    ? diffManifests(entry.manifest, manifest)
    : undefined;
  const head = { changeId, baseVersion, author };
  if (patch === undefined) return { kind: "manifest", ...head, manifest };
  return { kind: "manifestPatch", ...head, patch };
}

/**
 * Folds a published manifest: it wins if it was built on the version in
 * force. A repeat of a change that was decided before has no effect.
 *
 * @example
 * ```ts
 * foldManifest(state, entry.offset, record);
 * ```
 */
export function foldManifest(
  state: LogState,
  offset: number,
  record: LogRecordOf<"manifest" | "manifestPatch">,
): void {
  if (findChange(state, record.changeId) !== undefined) return;
  const manifest = manifestOf(state, record);
  const accepted = manifest !== undefined;
  state.history.push({
    version: offset,
    baseVersion: record.baseVersion,
    author: record.author,
    changeId: record.changeId,
    atMs: state.clockMs,
    accepted,
  });
  if (state.history.length > MAX_HISTORY_ENTRIES) state.history.shift();
  if (!accepted) return;
  const entry = {
    manifest,
    author: record.author,
    changeId: record.changeId,
  };
  accrueAgreed(state);
  state.folded = { version: offset, entry };
  applyManifest(state, offset, entry);
}

/**
 * Puts a manifest into force if its version is above the present one. A peer
 * may have passed it on while this reader cannot reach the log.
 *
 * @example
 * ```ts
 * applyManifest(state, heartbeat.version, heartbeat.entry);
 * ```
 *
 * @returns whether the manifest came into force
 */
export function applyManifest(
  state: LogState,
  version: number,
  entry: ManifestEntry,
): boolean {
  if (version <= state.version) return false;
  state.version = version;
  state.manifest = entry.manifest;
  state.inForce = entry;
  return true;
}

/**
 * Tells what became of a published change.
 *
 * @example
 * ```ts
 * const verdict = manifestVerdict(state, "build-418");
 * if (verdict.kind === "lost") rebase(verdict.versionInForce);
 * ```
 */
export function manifestVerdict(
  state: LogState,
  changeId: string,
): ManifestVerdict {
  const change = findChange(state, changeId);
  if (change === undefined) return { kind: "pending" };
  if (change.accepted) return { kind: "won", version: change.version };
  return { kind: "lost", versionInForce: state.folded.version };
}

/** The manifest after a change; undefined where its base is not in force. */
function manifestOf(
  state: LogState,
  record: LogRecordOf<"manifest" | "manifestPatch">,
): Manifest | undefined {
  const { version, entry } = state.folded;
  if (record.baseVersion !== version) return undefined;
  switch (record.kind) {
    case "manifest":
      return record.manifest;
    case "manifestPatch":
      return entry && applyPatch(entry.manifest, record.patch);
    default:
      return assertNever(record);
  }
}

/** What was agreed until now is added up before the agreements change. */
function accrueAgreed(state: LogState): void {
  const { usage, folded, clockMs } = state;
  const fromMs = usage.agreedUpToMs ?? clockMs;
  addAgreed(usage.days, folded.entry?.manifest, fromMs, clockMs);
  usage.agreedUpToMs = clockMs;
}

function findChange(state: LogState, changeId: string) {
  return state.history.findLast((entry) => entry.changeId === changeId);
}
