/**
 * The store records of the manifest: the manifest in force, one record for each
 * change, and the resource time agreed on each day up to the last change.
 *
 * @module
 */
import * as v from "valibot";
import { parseAs } from "../base/mod.ts";
import { resourceTimeSchema } from "../domain/mod.ts";
import type { KeyedRecord } from "../hosts/mod.ts";
import {
  type ManifestChange,
  manifestChangeSchema,
  type PublishedManifest,
  publishedManifestSchema,
} from "./published_manifest.ts";

/** The store partition of the manifest records. */
export const MANIFEST_PARTITION = { topic: "manifest", number: 0 };

const IN_FORCE_KEY = "in-force";
const CHANGE_PREFIX = "change/";
const AGREED_PREFIX = "agreed/";

const agreedResourceTimesSchema = v.record(v.string(), resourceTimeSchema);

/** Resource time agreed on one day, by agreement key. */
export type AgreedResourceTimes = v.InferOutput<
  typeof agreedResourceTimesSchema
>;

/** The parsed manifest records. */
export type ManifestRecords = {
  inForce: PublishedManifest | undefined;
  /** Sorted by version. */
  changes: ManifestChange[];
  /** By day, such as `2026-12-04`; covers the time up to the last change. */
  agreed: Map<string, AgreedResourceTimes>;
  /** The keys of records that cannot be parsed. */
  unreadable: string[];
};

/** Parses the records; collects the keys of those that cannot be parsed. */
export function parseManifestRecords(records: KeyedRecord[]): ManifestRecords {
  const parsed: ManifestRecords = {
    inForce: undefined,
    changes: [],
    agreed: new Map(),
    unreadable: [],
  };
  for (const { key, value } of records) {
    if (value === undefined) continue;
    if (!parseRecord(parsed, key, value)) parsed.unreadable.push(key);
  }
  parsed.changes.sort((left, right) => left.version - right.version);
  return parsed;
}

function parseRecord(
  parsed: ManifestRecords,
  key: string,
  value: string,
): boolean {
  if (key === IN_FORCE_KEY) {
    parsed.inForce = parseAs(publishedManifestSchema, value).unwrapOr(
      undefined,
    );
    return parsed.inForce !== undefined;
  }
  if (key.startsWith(CHANGE_PREFIX)) {
    const change = parseAs(manifestChangeSchema, value).unwrapOr(undefined);
    if (change !== undefined) parsed.changes.push(change);
    return change !== undefined;
  }
  if (key.startsWith(AGREED_PREFIX)) {
    const agreed = parseAs(agreedResourceTimesSchema, value).unwrapOr(
      undefined,
    );
    const day = key.slice(AGREED_PREFIX.length);
    if (agreed !== undefined) parsed.agreed.set(day, agreed);
    return agreed !== undefined;
  }
  return false;
}

/** Creates the records that put a manifest in force. */
export function createManifestRecords(
  published: PublishedManifest,
  agreed: Map<string, AgreedResourceTimes>,
): KeyedRecord[] {
  const { manifest: _manifest, ...change } = published;
  return [
    { key: IN_FORCE_KEY, value: JSON.stringify(published) },
    {
      key: CHANGE_PREFIX + published.version,
      value: JSON.stringify(change),
    },
    ...[...agreed].map(([day, amounts]) => ({
      key: AGREED_PREFIX + day,
      value: JSON.stringify(amounts),
    })),
  ];
}
