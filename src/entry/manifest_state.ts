import type { KeyedRecord } from "../hosts/mod.ts";
import {
  NO_VERSION,
  parseManifestRecords,
  type PublishedManifest,
} from "../manifest/mod.ts";

/** The manifest in force at this instance. */
export type ManifestState = {
  current(): PublishedManifest | undefined;
  /** Puts the newest manifest of the records in force, unless it is older. */
  applyIfNewer(records: KeyedRecord[]): ManifestUpdate;
};

/** Result of applying records of the manifest. */
export type ManifestUpdate = {
  /** Whether a newer manifest came into force. */
  isNewer: boolean;
  /** Keys of the unreadable records. */
  unreadable: string[];
};

/**
 * Creates a state without a manifest.
 *
 * @example
 * ```ts
 * const state = createManifestState();
 * state.applyIfNewer(records);
 * ```
 */
export function createManifestState(): ManifestState {
  let current: PublishedManifest | undefined;
  return {
    current: () => current,
    applyIfNewer(records) {
      const { inForce, unreadable } = parseManifestRecords(records);
      const isNewer = inForce !== undefined &&
        inForce.version > (current?.version ?? NO_VERSION);
      if (isNewer) current = inForce;
      return { isNewer, unreadable };
    },
  };
}
