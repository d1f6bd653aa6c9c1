import {
  type Clock,
  type KeyedRecord,
  MAX_RECORD_BYTES,
  recordBytes,
  type StoreHost,
} from "../hosts/mod.ts";
import type { Manifest } from "../model/mod.ts";
import {
  type AgreedResourceTimes,
  createManifestRecords,
  MANIFEST_PARTITION,
  type ManifestRecords,
  parseManifestRecords,
} from "./manifest_records.ts";
import { NO_VERSION } from "./published_manifest.ts";

/** How long a publication retries calls to the store, in milliseconds. */
const PUBLISH_TIMEOUT_MS = 5_000;
/** Delay before the retry of a failed call, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Difference between the epoch of a publication and its base version. */
const EPOCH_OFFSET = 2;

/** A manifest change that an operator publishes. */
export type Publication = {
  changeId: string;
  /** The version that the change was built on; -1 if there is none. */
  baseVersion: number;
  author: string;
  manifest: Manifest;
};

/** The outcome of a publication. */
export type PublicationOutcome =
  | { kind: "won"; version: number }
  | { kind: "lost"; versionInForce: number }
  /** A record of it would be larger than the store accepts. */
  | { kind: "tooLarge"; bytes: number; maxBytes: number }
  /** The store did not respond; the change may still take effect. */
  | { kind: "undecided" };

/** The dependencies of {@linkcode publishManifest}. */
export type PublicationHost = {
  store: StoreHost;
  clock: Clock;
  /** Computes the resource time agreed up to `nowMs`, by day. */
  agreedTimeByDay(
    records: ManifestRecords,
    nowMs: number,
  ): Map<string, AgreedResourceTimes>;
  signal: AbortSignal;
};

/**
 * Publishes a manifest if the version that it was built on is still in force.
 * The new version sets the fencing epoch of the append, so only one of several
 * concurrent publications succeeds; reading the records again shows which.
 *
 * @example
 * ```ts
 * const outcome = await publishManifest(host, publication);
 * ```
 */
export async function publishManifest(
  host: PublicationHost,
  publication: Publication,
): Promise<PublicationOutcome> {
  const { store, clock, signal } = host;
  const deadlineMs = clock.steadyMs() + PUBLISH_TIMEOUT_MS;
  while (!signal.aborted && clock.steadyMs() < deadlineMs) {
    const read = await store.newest(MANIFEST_PARTITION, signal);
    if (read.isErr()) {
      await clock.sleep(RETRY_DELAY_MS, signal);
      continue;
    }
    const records = parseManifestRecords(read.value.records);
    const outcome = findOutcome(records, publication);
    if (outcome !== undefined) return outcome;
    const created = createRecords(host, records, publication);
    const largest = Math.max(...created.map(recordBytes));
    if (largest > MAX_RECORD_BYTES) {
      return { kind: "tooLarge", bytes: largest, maxBytes: MAX_RECORD_BYTES };
    }
    // The result is ignored, because the records are read again.
    await store.append(
      MANIFEST_PARTITION,
      created,
      // The first epoch must be above that of a partition without records.
      { epoch: publication.baseVersion + EPOCH_OFFSET, sequence: 0 },
      signal,
    );
  }
  return { kind: "undecided" };
}

/**
 * Derives the outcome of a publication from the records; undefined if it may be
 * appended.
 */
function findOutcome(
  { inForce, changes }: ManifestRecords,
  { changeId, baseVersion }: Publication,
): PublicationOutcome | undefined {
  const existing = changes.find((change) => change.changeId === changeId);
  if (existing !== undefined) return { kind: "won", version: existing.version };
  const versionInForce = inForce?.version ?? NO_VERSION;
  if (versionInForce === baseVersion) return undefined;
  return { kind: "lost", versionInForce };
}

/** Creates the records of a publication. */
function createRecords(
  { clock, agreedTimeByDay }: PublicationHost,
  records: ManifestRecords,
  { baseVersion, changeId, author, manifest }: Publication,
): KeyedRecord[] {
  const atMs = clock.nowMs();
  const version = baseVersion + 1;
  return createManifestRecords(
    { version, changeId, author, manifest, atMs },
    agreedTimeByDay(records, atMs),
  );
}
