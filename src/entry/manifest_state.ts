import type { KeyedRecord } from "../hosts/mod.ts";
import {
  type PublishedManifest,
  readManifestRecords,
} from "../manifest/mod.ts";

/** The manifest in force at this instance. */
export type ManifestState = {
  current(): PublishedManifest | undefined;
  /** Takes in records; tells whether a newer manifest came into force. */
  take(records: KeyedRecord[]): boolean;
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
      const { inForce } = readManifestRecords(records);
      if (inForce === undefined) return false;
      if (current !== undefined && inForce.version <= current.version) {
        return false;
      }
      current = inForce;
      return true;
    },
  };
}
