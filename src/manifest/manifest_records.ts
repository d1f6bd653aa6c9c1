/**
 * The records of the manifest in the store: the one in force, a line for each
 * change, and what was agreed on each day until the change.
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

/** The partition that holds the records. */
export const MANIFEST_PARTITION = { topic: "manifest", number: 0 };

const IN_FORCE_KEY = "in-force";
const CHANGE_PREFIX = "change/";
const AGREED_PREFIX = "agreed/";

const agreedSchema = v.record(v.string(), resourceTimeSchema);

/** What was agreed on one day, by agreement. */
export type AgreedDay = v.InferOutput<typeof agreedSchema>;

/** What the records say. */
export type ManifestRecords = {
  inForce: PublishedManifest | undefined;
  /** In the order of their versions. */
  changes: ManifestChange[];
  /** By day, such as `2026-12-04`; up to the last change. */
  agreed: Map<string, AgreedDay>;
  /** The keys of records that cannot be read. */
  unreadable: string[];
};

/** Reads the records; those that cannot be read are named. */
export function readManifestRecords(records: KeyedRecord[]): ManifestRecords {
  const read: ManifestRecords = {
    inForce: undefined,
    changes: [],
    agreed: new Map(),
    unreadable: [],
  };
  for (const { key, value } of records) {
    if (value === undefined) continue;
    if (!readRecord(read, key, value)) read.unreadable.push(key);
  }
  read.changes.sort((left, right) => left.version - right.version);
  return read;
}

function readRecord(
  read: ManifestRecords,
  key: string,
  value: string,
): boolean {
  if (key === IN_FORCE_KEY) {
    read.inForce = parseAs(publishedManifestSchema, value).unwrapOr(undefined);
    return read.inForce !== undefined;
  }
  if (key.startsWith(CHANGE_PREFIX)) {
    const change = parseAs(manifestChangeSchema, value).unwrapOr(undefined);
    if (change !== undefined) read.changes.push(change);
    return change !== undefined;
  }
  if (key.startsWith(AGREED_PREFIX)) {
    const agreed = parseAs(agreedSchema, value).unwrapOr(undefined);
    const day = key.slice(AGREED_PREFIX.length);
    if (agreed !== undefined) read.agreed.set(day, agreed);
    return agreed !== undefined;
  }
  return false;
}

/** The records that put a manifest in force. */
export function manifestRecords(
  published: PublishedManifest,
  agreed: Map<string, AgreedDay>,
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
