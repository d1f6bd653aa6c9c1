import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import { createSystemClock } from "../clients/mod.ts";
import type { StoreFault, StoreHost } from "../hosts/mod.ts";
import type { Manifest } from "../model/mod.ts";
import { parseManifestRecords } from "./manifest_records.ts";
import {
  type Publication,
  type PublicationHost,
  publishManifest,
} from "./publish_manifest.ts";

const FENCED: StoreFault = {
  kind: "fenced",
  step: "store.append",
  message: "A writer with a higher epoch exists.",
};
const NO_RESPONSE: StoreFault = {
  kind: "unknown",
  step: "store.append",
  message: "No response.",
};
const EMPTY_MANIFEST: Manifest = { customers: [], agreements: [] };

/** A store with one partition, which rejects appends of a lower epoch. */
type FakeStore = {
  host: PublicationHost;
  records: Map<string, string>;
  /** Runs once, between a publication's read and its append. */
  beforeAppend: () => void;
  /** Whether the next append takes effect but returns no response. */
  dropsNextResponse: boolean;
};

function createFakeStore(): FakeStore {
  const records = new Map<string, string>();
  let epoch = -1;
  const fake: FakeStore = {
    records,
    beforeAppend: () => {},
    dropsNextResponse: false,
    host: {
      store: {
        newest: () =>
          Promise.resolve(ok({
            records: [...records].map(([key, value]) => ({ key, value })),
            nextOffset: 0,
          })),
        append(_partition, added, fence) {
          fake.beforeAppend();
          fake.beforeAppend = () => {};
          assert.ok(fence !== undefined && "epoch" in fence);
          if (fence.epoch < epoch) return Promise.resolve(err(FENCED));
          // A repeat has no second effect, even from another writer.
          if (fence.epoch === epoch) return Promise.resolve(ok(undefined));
          epoch = fence.epoch;
          for (const { key, value = "" } of added) records.set(key, value);
          if (!fake.dropsNextResponse) return Promise.resolve(ok(undefined));
          fake.dropsNextResponse = false;
          return Promise.resolve(err(NO_RESPONSE));
        },
      } as Partial<StoreHost> as StoreHost,
      clock: createSystemClock(),
      agreedTimeByDay: () => new Map(),
      signal: new AbortController().signal,
    },
  };
  return fake;
}

function publication(changeId: string, baseVersion: number): Publication {
  return { changeId, baseVersion, author: "uwimana", manifest: EMPTY_MANIFEST };
}

function parseRecords(fake: FakeStore) {
  return parseManifestRecords(
    [...fake.records].map(([key, value]) => ({ key, value })),
  );
}

test("publication: versions start at 0 and increase by one", async () => {
  const fake = createFakeStore();
  for (const version of [0, 1, 2]) {
    const published = publication(`build-${version}`, version - 1);
    const outcome = await publishManifest(fake.host, published);
    assert.deepEqual(outcome, { kind: "won", version });
  }
  const { changes, inForce } = parseRecords(fake);
  assert.deepEqual(changes.map(({ changeId }) => changeId), [
    "build-0",
    "build-1",
    "build-2",
  ]);
  assert.equal(inForce?.version, 2);
});

test("publication: one of two concurrent publications on the same version wins", async () => {
  const fake = createFakeStore();
  let other: Promise<unknown> = Promise.resolve();
  fake.beforeAppend = () => {
    other = publishManifest(fake.host, publication("second", -1));
  };
  const first = await publishManifest(fake.host, publication("first", -1));
  const outcomes = [first, await other];
  assert.deepEqual(outcomes.map((outcome) => JSON.stringify(outcome)).sort(), [
    '{"kind":"lost","versionInForce":0}',
    '{"kind":"won","version":0}',
  ]);
  assert.equal(parseRecords(fake).changes.length, 1);
});

test("publication: a lost response is resolved, and a repeat changes nothing", async () => {
  const fake = createFakeStore();
  fake.dropsNextResponse = true;
  const won = { kind: "won", version: 0 };
  const published = publication("build-1", -1);
  assert.deepEqual(await publishManifest(fake.host, published), won);
  assert.deepEqual(await publishManifest(fake.host, published), won);
  assert.equal(parseRecords(fake).changes.length, 1);
});

test("records: the keys of records that cannot be parsed are reported", () => {
  const read = parseManifestRecords([
    { key: "in-force", value: "{" },
    { key: "change/0", value: '{"version":"0"}' },
    { key: "agreed/2026-12-01", value: '{"desk":1}' },
  ]);
  assert.equal(read.inForce, undefined);
  assert.deepEqual(read.unreadable, [
    "in-force",
    "change/0",
    "agreed/2026-12-01",
  ]);
});

// Guards against a publication that the store never takes, and that ends as
// undecided after its time.
test("publication: a manifest whose record is too large is refused", async () => {
  const fake = createFakeStore();
  fake.beforeAppend = () => assert.fail("nothing is appended");
  const customers = Array.from({ length: 20_000 }, (_, index) => ({
    name: `customer-${index}`,
  }));
  const outcome = await publishManifest(fake.host, {
    ...publication("wide", -1),
    manifest: { ...EMPTY_MANIFEST, customers } as Manifest,
  });
  assert.equal(outcome.kind, "tooLarge");
  assert.equal(fake.records.size, 0);
});
