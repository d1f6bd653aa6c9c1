import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import {
  acceptedRequests,
  adoptionOf,
  applyManifest,
  CLAIM_RETENTION_MS,
  claimOf,
  createLogState,
  endedOf,
  foldPage,
  manifestVerdict,
} from "./mod.ts";
import {
  appendFake,
  catchUp,
  contentOf,
  createLogFake,
  foldAll,
  manifestRecord,
  readFake,
  recordArbitrary,
  SEED,
  snapshotIfNeeded,
  trimFake,
} from "./log_fake_test.ts";

const RUNS = 300;

const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: recordArbitrary },
  /** A publisher builds on the version in force, or on an older one. */
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      staleBy: fc.integer({ min: 0, max: 2 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "garbage" as const }) },
);

function buildLog(steps: unknown[]) {
  const log = createLogFake();
  const versions = [-1];
  steps.forEach((step, index) => {
    const { kind, staleBy } = step as { kind: string; staleBy?: number };
    if (kind !== "publish") {
      appendFake(log, step);
      return;
    }
    const base = versions.at(-1 - (staleBy ?? 0)) ?? -1;
    const offset = appendFake(log, manifestRecord(`change-${index}`, base));
    if (base === versions.at(-1)) versions.push(offset);
  });
  return { log, version: versions.at(-1) };
}

test("fold: pages of any size, repeated, give every reader one state", () => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, { maxLength: 40 }),
      fc.array(fc.tuple(fc.nat(45), fc.nat(10))),
      fc.integer({ min: 1, max: 7 }),
      (steps, reads, limit) => {
        const { log, version } = buildLog(steps);
        const expected = foldAll(log);
        assert.equal(expected.version, version);
        const state = createLogState();
        for (const [back, size] of reads) {
          const from = Math.max(0, state.nextOffset - back);
          foldPage(state, readFake(log, from, size));
        }
        catchUp(log, state, limit);
        assert.deepEqual(contentOf(state), contentOf(expected));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test("fold: a record appended twice changes nothing", () => {
  fc.assert(
    fc.property(
      // Short enough to stay within every retention.
      fc.array(stepArbitrary, { maxLength: 20 }),
      fc.array(fc.nat(19), { maxLength: 14 }),
      (steps, repeats) => {
        const { log } = buildLog(steps);
        const once = foldAll(log);
        for (const offset of repeats) {
          const entry = log.entries[offset];
          if (entry !== undefined) appendFake(log, entry.data);
        }
        const twice = foldAll(log);
        assert.equal(twice.version, once.version);
        assert.deepEqual(twice.history, once.history);
        assert.deepEqual(twice.claims, once.claims);
        assert.deepEqual([...twice.ended.keys()], [...once.ended.keys()]);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test("manifest: of racing changes exactly one wins, for every reader", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 10 }),
      (races) => {
        const log = createLogFake();
        const reader = createLogState();
        races.forEach((publishers, race) => {
          const base = reader.version;
          const changes = Array.from(
            { length: publishers },
            (_, index) => `race-${race}-${index}`,
          );
          for (const change of changes) {
            appendFake(log, manifestRecord(change, base));
            appendFake(log, manifestRecord(change, base));
          }
          catchUp(log, reader, 3);
          const verdicts = changes.map((id) => manifestVerdict(reader, id));
          const won = verdicts.filter(({ kind }) => kind === "won");
          const lost = verdicts.filter(({ kind }) => kind === "lost");
          assert.equal(won.length, 1);
          assert.equal(lost.length, publishers - 1);
          for (const verdict of lost) {
            assert.deepEqual(verdict, {
              kind: "lost",
              versionInForce: reader.version,
            });
          }
        });
        assert.deepEqual(contentOf(foldAll(log)), contentOf(reader));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test("snapshot: trimming at any point leaves late readers the same state", () => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, { minLength: 1, maxLength: 60 }),
      fc.array(fc.nat(70), { maxLength: 10 }),
      fc.integer({ min: 1, max: 9 }),
      (steps, trims, limit) => {
        const { log: whole } = buildLog(steps);
        const log = createLogFake();
        const steady = createLogState();
        const sleeper = createLogState();
        let lastVersion = -1;
        // Snapshots move offsets, so bases are taken from the steady reader.
        whole.entries.forEach(({ data }, index) => {
          const record = data as { kind: string; changeId: string };
          const isStale = index % 5 === 0;
          appendFake(
            log,
            record.kind === "manifest"
              ? manifestRecord(record.changeId, steady.version - +isStale)
              : data,
          );
          snapshotIfNeeded(log, steady, catchUp(log, steady, limit));
          catchUp(log, steady, limit);
          if (!trims.includes(index)) return;
          trimFake(log, Math.max(0, steady.snapshotOffset));
          catchUp(log, sleeper, limit);
          assert.ok(sleeper.version >= lastVersion);
          assert.deepEqual(contentOf(sleeper), contentOf(steady));
          lastVersion = sleeper.version;
        });
        assert.deepEqual(contentOf(foldAll(log)), contentOf(steady));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test("peer: a manifest that a peer passed on is never lowered", () => {
  const log = createLogFake();
  const first = appendFake(log, manifestRecord("first", -1));
  const second = appendFake(log, manifestRecord("second", first));
  const ahead = foldAll(log);
  const state = createLogState();
  assert.ok(ahead.inForce);
  assert.equal(applyManifest(state, second, ahead.inForce), true);
  assert.equal(applyManifest(state, first, ahead.inForce), false);
  foldPage(state, readFake(log, 0, 1));
  assert.equal(state.version, second);
  assert.deepEqual(manifestVerdict(state, "first"), {
    kind: "won",
    version: first,
  });
  catchUp(log, state, 1);
  assert.deepEqual(contentOf(state), contentOf(ahead));
});

test("claims: the first holds, and is forgotten by the log's own time", () => {
  const state = createLogState();
  const claim = { kind: "claim", customer: "press", key: "k", digest: "d" };
  const page = (offset: number, atMs: number, requestId: string) => ({
    entries: [{ offset, atMs, data: { ...claim, requestId } }],
    firstOffset: 0,
    nextOffset: offset + 1,
  });
  foldPage(state, page(0, 0, "one"));
  foldPage(state, page(1, CLAIM_RETENTION_MS - 1, "two"));
  assert.equal(claimOf(state, "press", "k")?.requestId, "one");
  assert.equal(claimOf(state, "co-operative", "k"), undefined);
  foldPage(state, page(2, CLAIM_RETENTION_MS, "three"));
  assert.equal(claimOf(state, "press", "k")?.requestId, "three");
});

test("requests: accepted, adopted once an epoch, and ended", () => {
  const log = createLogFake();
  const request = {
    id: "r",
    customer: "a",
    agreement: "a",
    work: "a",
    digest: "d",
    durable: true,
    acceptedAtMs: 0,
    tasks: [],
  };
  const adopted = { kind: "adopted", requestId: "r", epoch: 1 };
  const accepted = { kind: "accepted", request };
  appendFake(log, accepted);
  assert.equal(adoptionOf(foldAll(log), "r"), undefined);
  appendFake(log, { ...adopted, holder: "first/1" });
  appendFake(log, { ...adopted, holder: "second/1" });
  appendFake(log, accepted);
  const state = foldAll(log);
  assert.deepEqual([...acceptedRequests(state)], [
    { request, epoch: 1, holder: "first/1", ended: [] },
  ]);
  assert.deepEqual(adoptionOf(state, "r"), { epoch: 1, holder: "first/1" });
  const outcome = { kind: "ran", tasks: [] };
  const end = { kind: "ended", requestId: "r", outcome } as const;
  appendFake(log, { ...end, holder: "home/1" });
  assert.equal([...acceptedRequests(foldAll(log))].length, 1);
  appendFake(log, { ...end, holder: "first/1" });
  appendFake(log, accepted);
  const ended = foldAll(log);
  assert.deepEqual([...acceptedRequests(ended)], []);
  assert.deepEqual(endedOf(ended, "r"), outcome);
});
