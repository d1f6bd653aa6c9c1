import type { Clock, StoreHost } from "../hosts/mod.ts";
import type { Manifest } from "../model/mod.ts";
import {
  type AgreedResourceTimes,
  createManifestRecords,
  MANIFEST_PARTITION,
  type ManifestRecords,
  parseManifestRecords,
} from "./manifest_records.ts";
import { NO_VERSION } from "./published_manifest.ts";

/** How long a publication tries to reach the store, in milliseconds. */
const PUBLISH_TIMEOUT_MS = 5_000;
/** Pause after a call that failed, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** A change of the manifest that an operator publishes. */
export type Publication = {
  changeId: string;
  /** The version that the change was built on; -1 for none. */
  baseVersion: number;
  author: string;
  manifest: Manifest;
};

/** What became of a publication. */
export type PublicationOutcome =
  | { kind: "won"; version: number }
  | { kind: "lost"; versionInForce: number }
  /** The store did not answer; the change may still take effect. */
  | { kind: "undecided" };

/** What a publication needs. */
export type PublicationHost = {
  store: StoreHost;
  clock: Clock;
  /** What is agreed until now, with what the manifest in force adds to it. */
  agreedTimeByDay(
    records: ManifestRecords,
    nowMs: number,
  ): Map<string, AgreedResourceTimes>;
  signal: AbortSignal;
};

/**
 * Publishes a manifest on top of the version that it was built on. The version
 * is the epoch of the append, so that of operators who race, one wins; which
 * one the records tell.
 *
 * @example
 * ```ts
 * const verdict = await publishManifest(host, publication);
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
    await appendManifest(host, records, publication);
  }
  return { kind: "undecided" };
}

/** What the records say of a publication; undefined if it may be appended. */
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

/** A failure shows in the records, which are read again. */
async function appendManifest(
  host: PublicationHost,
  records: ManifestRecords,
  publication: Publication,
): Promise<void> {
  const { store, clock, signal } = host;
  const atMs = clock.nowMs();
  const version = publication.baseVersion + 1;
  const { changeId, author, manifest } = publication;
  await store.append(
    MANIFEST_PARTITION,
    createManifestRecords(
      { version, changeId, author, manifest, atMs },
      host.agreedTimeByDay(records, atMs),
    ),
    // Epochs begin above that of a partition without records.
    { epoch: version + 1, sequence: 0 },
    signal,
  );
}
