import type { KeyedRecord } from "../hosts/mod.ts";
import {
  NO_VERSION,
  type PublishedManifest,
  readManifestRecords,
} from "../manifest/mod.ts";

/** The manifest in force at this instance. */
export type ManifestState = {
  current(): PublishedManifest | undefined;
  applyIfNewer(records: KeyedRecord[]): ManifestUpdate;
};

/** What records of the manifest brought. */
export type ManifestUpdate = {
  /** Whether a newer manifest came into force. */
  isNewer: boolean;
  /** The keys of records that cannot be read. */
  unreadable: string[];
};

/**
 * Creates a state without a manifest.
 *
 * @example
 * ```ts
 * const state = createManifestState();
 * state.take(records);
 * ```
 */
export function createManifestState(): ManifestState {
  let current: PublishedManifest | undefined;
  return {
    current: () => current,
    applyIfNewer(records) {
      const { inForce, unreadable } = readManifestRecords(records);
      const isNewer = inForce !== undefined &&
        inForce.version > (current?.version ?? NO_VERSION);
      if (isNewer) current = inForce;
      return { isNewer, unreadable };
    },
  };
}
