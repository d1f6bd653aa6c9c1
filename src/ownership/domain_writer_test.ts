import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import type { DomainRecord } from "../domain/mod.ts";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { Clock, Fence, StoreFault, StoreHost } from "../hosts/mod.ts";
import type { Counters } from "../telemetry/mod.ts";
import { type Commit, createDomainWriter } from "./domain_writer.ts";
import { DISTANT_PAST } from "./instant.ts";

type Answer = Result<void, StoreFault>;

/** An append that the test answers. */
type Append = { key: string; sequence: number; answer(answer: Answer): void };

const EXPECTED_FIRST: Answer = err({
  kind: "sequence",
  step: "store.append",
  message: "",
  expectedSequence: 1,
});

const controllers: AbortController[] = [];

afterEach(() => controllers.splice(0).forEach((one) => one.abort()));

/** A clock whose sleeps let other work run first. */
function createYieldingClock(): Clock {
  const clock = createManualClock();
  return {
    ...clock,
    async sleep(delayMs, signal) {
      await setImmediate();
      await clock.sleep(delayMs, signal);
    },
  };
}

/** A writer on a store that answers when the test says so. */
function createWriterBench(valueBytes = 1) {
  const appends: Append[] = [];
  const committed: string[] = [];
  const rejectedKeys: string[] = [];
  const pending: Commit[] = [];
  const controller = new AbortController();
  controllers.push(controller);
  const store = {
    append: (_: unknown, records: DomainRecord[], fence: Fence) =>
      new Promise<Answer>((answer) => {
        const key = records.map((record) => record.key).join(" ");
        appends.push({ key, sequence: fence.sequence, answer });
      }),
  };
  const writer = createDomainWriter({
    store: store as unknown as StoreHost,
    clock: createYieldingClock(),
    logger: silentLogger,
    counters: { count() {}, observe() {} } as unknown as Counters,
    partition: { topic: "domains", number: 0 },
    epoch: 7,
    sequence: 1,
    epochRaisedAt: DISTANT_PAST,
    takeChanges: () => pending.shift(),
    onFenced: () => controller.abort(),
    signal: controller.signal,
  });
  async function commit(...keys: string[]): Promise<void> {
    const value = "x".repeat(valueBytes);
    pending.push({
      records: keys.map((key) => ({ key, value })),
      onCommitted: (rejected) => {
        committed.push(keys.join(" "));
        for (const { key } of rejected) rejectedKeys.push(key);
      },
    });
    writer.requestCommit();
    await settle();
  }
  return { appends, committed, rejectedKeys, commit, writer };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await setImmediate();
}

describe("a slow store, several appends in flight", () => {
  it("completes commits in order, whatever the order of the answers", async () => {
    const { appends, committed, commit } = createWriterBench();
    await commit("a");
    await commit("b");
    assert.deepEqual(appends.map(({ sequence }) => sequence), [1, 2]);
    appends[1]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, []);
    appends[0]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, ["a", "b"]);
  });

  it("repeats an append that arrived before its predecessor", async () => {
    const { appends, committed, commit } = createWriterBench();
    await commit("a");
    await commit("b");
    appends[1]!.answer(EXPECTED_FIRST);
    await settle();
    assert.equal(appends.length, 2);
    appends[0]!.answer(ok(undefined));
    await settle();
    assert.equal(appends[2]?.key, "b");
    assert.equal(appends[2]?.sequence, 2);
    appends[2]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, ["a", "b"]);
  });

  it("takes an append as stored if the store expects a later one", async () => {
    const { appends, committed, commit } = createWriterBench();
    await commit("a");
    await commit("b");
    const unknown = { kind: "unknown", step: "", message: "" } as const;
    appends[0]!.answer(err(unknown));
    appends[1]!.answer(ok(undefined));
    await settle();
    const expected = { ...unknown, kind: "sequence", expectedSequence: 3 };
    appends[2]!.answer(err(expected as StoreFault));
    await settle();
    assert.equal(appends.length, 3);
    assert.deepEqual(committed, ["a", "b"]);
  });

  it("has at most as many in flight as the store remembers", async () => {
    const { appends, commit } = createWriterBench();
    for (const key of ["a", "b", "c", "d", "e", "f"]) await commit(key);
    assert.equal(appends.length, 3);
  });

  it("completes nothing after an append was fenced", async () => {
    const { appends, committed, commit } = createWriterBench();
    await commit("a");
    await commit("b");
    appends[0]!.answer(err({ kind: "fenced", step: "", message: "" }));
    appends[1]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, []);
  });

  it("sends nothing between the appends of a large commit", async () => {
    const { appends, commit } = createWriterBench(600_000);
    await commit("a", "b");
    await commit("c");
    assert.deepEqual(appends.map(({ key }) => key), ["a"]);
    appends[0]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(appends.map(({ key }) => key), ["a", "b"]);
  });
});

it("the age of an append is that of the oldest without an answer", async () => {
  const { appends, commit, writer } = createWriterBench();
  await commit("a");
  const { length } = appends;
  assert.equal(length, 1);
  await commit("b");
  assert.ok(writer.appendAgeMs() > 0);
  assert.equal(writer.isIdle(), false);
});

// Guards against one record that the store never accepts and that holds up all
// later appends of its domain.
describe("a store that rejects a record for good", () => {
  const rejection = (rejectedKeys?: string[]): Answer =>
    err({
      kind: "rejected",
      step: "store.append",
      message: "status 400 {}",
      ...(rejectedKeys === undefined ? {} : { rejectedKeys }),
    });

  it("stores the other records under the same number, and the next ones", async () => {
    const { appends, committed, rejectedKeys, commit } = createWriterBench();
    await commit("a", "long", "b");
    await commit("c");
    appends[0]!.answer(rejection(["long"]));
    await settle();
    assert.deepEqual(
      appends.map(({ key, sequence }) => [key, sequence]),
      [["a long b", 1], ["c", 2], ["a b", 1]],
    );
    appends[2]!.answer(ok(undefined));
    appends[1]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, ["a long b", "c"]);
    assert.deepEqual(rejectedKeys, ["long"]);
  });

  it("uses up the number if no record is left", async () => {
    const { appends, committed, rejectedKeys, commit } = createWriterBench();
    await commit("a");
    appends[0]!.answer(rejection());
    await settle();
    assert.deepEqual(
      appends.map(({ key, sequence }) => [key, sequence]),
      [["a", 1], ["rejected", 1]],
    );
    appends[1]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, ["a"]);
    assert.deepEqual(rejectedKeys, ["a"]);
  });

  it("sends everything again if the store rejects any append", async () => {
    const { appends, committed, rejectedKeys, commit } = createWriterBench();
    await commit("a");
    appends[0]!.answer(rejection());
    await settle();
    appends[1]!.answer(rejection());
    await settle();
    assert.equal(appends[2]?.key, "a");
    appends[2]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(committed, ["a"]);
    assert.deepEqual(rejectedKeys, []);
  });

  it("finds a record that the store does not name in few appends", async () => {
    const keys = Array.from({ length: 64 }, (_, index) => `k${index}`);
    const { appends, rejectedKeys, commit } = createWriterBench();
    await commit(...keys);
    for (let turn = 0; turn < 20; turn += 1) {
      const last = appends.at(-1)!;
      const isFine = !last.key.split(" ").includes("k40");
      last.answer(isFine ? ok(undefined) : rejection());
      await settle();
      if (isFine) break;
    }
    assert.ok(appends.length <= 8, `${appends.length} appends`);
    assert.ok(rejectedKeys.includes("k40"));
  });

  // Guards against a deletion of steps without the end of their job, after which
  // a later owner would run their tasks again.
  it("leaves out all records of a job, or none", async () => {
    const { appends, rejectedKeys, commit } = createWriterBench();
    await commit("job/a", "step/a.0.0", "job/b", "step/b.0.0");
    appends[0]!.answer(rejection(["job/a"]));
    await settle();
    assert.equal(appends[1]?.key, "job/b step/b.0.0");
    appends[1]!.answer(ok(undefined));
    await settle();
    assert.deepEqual(rejectedKeys, ["job/a", "step/a.0.0"]);
  });
});
