import type { KeyedRecord } from "../hosts/mod.ts";
import {
  NO_VERSION,
  parseManifestRecords,
  type PublishedManifest,
} from "../manifest/mod.ts";

/** The manifest in force at this instance. */
export type ManifestState = {
  current(): PublishedManifest | undefined;
  take(records: KeyedRecord[]): ManifestUpdate;
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
    take(records) {
      const { inForce, unreadable } = parseManifestRecords(records);
      const isNewer = inForce !== undefined &&
        inForce.version > (current?.version ?? NO_VERSION);
      if (isNewer) current = inForce;
      return { isNewer, unreadable };
    },
  };
}
