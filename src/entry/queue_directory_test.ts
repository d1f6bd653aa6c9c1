import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createQueueRecord } from "../ownership/mod.ts";
import { createQueueDirectory } from "./queue_directory.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const RECORD = createQueueRecord(3, 7, 1, [{ queue: "proofs" }]);

/** A directory on a store whose reads are counted. */
function createTestSetup() {
  const clock = createManualClock();
  const { signal } = new AbortController();
  const state = { reads: 0, revision: "1", isDown: false };
  const directory = createQueueDirectory({
    // Reads are answered at once, so no timeout ends.
    clock: { ...clock, sleep: () => new Promise(() => {}) },
    logger: silentLogger,
    signal,
    revision: () => state.revision,
    version: () => Number(state.revision),
    store: {
      newest: () => {
        state.reads += 1;
        return Promise.resolve(
          state.isDown
            ? err({ kind: "unavailable", step: "store.newest", message: "503" })
            : ok({ records: [RECORD], nextOffset: 1 }),
        );
      },
    },
  });
  return { directory, state, sleep: (ms: number) => clock.sleep(ms, signal) };
}

describe("the directory of queues", () => {
  it("reads the store once for each configuration", async () => {
    const { directory, state } = createTestSetup();
    const records = await directory.read(1_500);
    assert.deepEqual(records?.map(({ partition }) => partition), [3]);
    await directory.read(1_500);
    assert.equal(state.reads, 1);
    state.revision = "2";
    await directory.read(1_500);
    assert.equal(state.reads, 2);
  });

  // Guards against TWICE: an earlier domain that was recorded after the read, by
  // an instance that had not applied the configuration yet, stays unknown.
  it("reads again once every instance has the configuration", async () => {
    const { directory, state, sleep } = createTestSetup();
    await directory.read(1_500);
    await sleep(10_001);
    await directory.read(1_500);
    assert.equal(state.reads, 2);
    await sleep(60_000);
    await directory.read(1_500);
    assert.equal(state.reads, 2);
  });

  // Guards against TWICE: records from before a change do not name the domains
  // that accepted jobs since.
  it("does not answer from records of an earlier configuration", async () => {
    const { directory, state } = createTestSetup();
    await directory.read(1_500);
    state.revision = "2";
    state.isDown = true;
    assert.equal(await directory.read(1_500), undefined);
    assert.equal(directory.known().length, 1);
  });

  // Guards against calls that fail for a slow store after a configuration that
  // does not concern their queue.
  it("answers at once for a queue that has not moved since the read", async () => {
    const { directory, state } = createTestSetup();
    await directory.read(1_500, 1);
    state.revision = "3";
    state.isDown = true;
    assert.equal((await directory.read(1_500, 1))?.length, 1);
    assert.equal(await directory.read(1_500, 2), undefined);
  });

  it("pauses before it repeats a read that failed", async () => {
    const { directory, state, sleep } = createTestSetup();
    state.isDown = true;
    await directory.read(1_500);
    await directory.read(1_500);
    assert.equal(state.reads, 1);
    await sleep(250);
    state.isDown = false;
    assert.equal((await directory.read(1_500))?.length, 1);
  });
});
