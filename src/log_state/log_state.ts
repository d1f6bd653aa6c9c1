import type { Manifest } from "../model/mod.ts";
import type { AcceptedRequest } from "./accepted_request.ts";
import type { Claim } from "./claim.ts";
import type { EndedRequest } from "./ended_request.ts";
import type { HistoryEntry } from "./history_entry.ts";
import type { SnapshotRecord } from "./log_record.ts";
import type { ManifestEntry } from "./manifest_entry.ts";
import { createUsageState, type UsageState } from "./usage_state.ts";

/** What one reader has folded from the log. */
export type LogState = {
  /** Offset of the first entry that is not folded yet; read from here. */
  nextOffset: number;
  /** The latest time on any entry folded, in milliseconds since the epoch. */
  clockMs: number;
  /**
   * Whether every entry below {@linkcode nextOffset} is contained. False after
   * the log trimmed entries that this reader never saw, until a snapshot.
   */
  synced: boolean;
  /** Offset of the manifest in force; -1 for none. It never falls. */
  version: number;
  /** The manifest in force. */
  manifest: Manifest | undefined;
  /** The manifest in force with its origin. */
  inForce: ManifestEntry | undefined;
  /**
   * The newest manifest that the log itself has shown to this reader. It is
   * older than the one in force where a peer passed that one on.
   */
  folded: FoldedManifest;
  /** The latest published changes, oldest first. */
  history: HistoryEntry[];
  /** By customer and key, in the order of the log. */
  claims: Map<string, Claim>;
  /** Durable work that has not ended, by request id. */
  requests: Map<string, AcceptedRequest>;
  /** When work ended, by request id, in the order of the log. */
  ended: Map<string, number>;
  /** The newest outcomes, by request id, in the order of the log. */
  outcomes: Map<string, EndedRequest>;
  usage: UsageState;
  /** Up to which offset the newest complete snapshot in the log reaches. */
  snapshotOffset: number;
  /** While not synced: where a snapshot would let this reader go on. */
  resumeOffset: number;
  /** While not synced: the best snapshot seen so far. */
  candidate: SnapshotRecord | undefined;
};

/** A manifest and its version. */
export type FoldedManifest = {
  version: number;
  entry: ManifestEntry | undefined;
};

/**
 * Creates the state of a reader that has read nothing yet.
 *
 * @example
 * ```ts
 * const state = createLogState();
 * const page = await log.read(state.nextOffset, 0, signal);
 * ```
 */
export function createLogState(): LogState {
  return {
    nextOffset: 0,
    clockMs: 0,
    synced: true,
    version: -1,
    manifest: undefined,
    inForce: undefined,
    folded: { version: -1, entry: undefined },
    history: [],
    claims: new Map(),
    requests: new Map(),
    ended: new Map(),
    outcomes: new Map(),
    usage: createUsageState(),
    snapshotOffset: -1,
    resumeOffset: 0,
    candidate: undefined,
  };
}
