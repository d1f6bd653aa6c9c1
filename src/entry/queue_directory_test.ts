import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createQueueRecord } from "../ownership/mod.ts";
import { createQueueDirectory } from "./queue_directory.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const RECORD = createQueueRecord(3, 7, 1, [{ queue: "proofs" }]);

/** A directory on a store whose reads are counted. */
function createTestSetup({ hasTimeouts = true } = {}) {
  const clock = createManualClock();
  const controller = new AbortController();
  const { signal } = controller;
  const state = { reads: 0, isDown: false };
  const directory = createQueueDirectory({
    clock: hasTimeouts
      ? clock
      : { ...clock, sleep: () => new Promise(() => {}) },
    logger: silentLogger,
    signal,
    store: {
      async newest() {
        state.reads += 1;
        if (state.isDown) {
          await Promise.resolve();
          return err({
            kind: "unavailable",
            step: "store.newest",
            message: "503",
          });
        }
        return ok({ records: [RECORD], nextOffset: 1 });
      },
    },
  });
  return { directory, state, clock, controller };
}

describe("the directory of queues", () => {
  it("reads after a change, and once more when others have applied it", async () => {
    const { directory, state, clock } = createTestSetup();
    await directory.refresh();
    assert.equal(state.reads, 2);
    assert.equal(clock.steadyMs(), 10_000);
    assert.deepEqual(directory.known().map(({ partition }) => partition), [3]);
  });

  it("reads once more for the last one of changes that follow each other", async () => {
    const { directory, state } = createTestSetup();
    await Promise.all([directory.refresh(), directory.refresh()]);
    assert.equal(state.reads, 2);
  });

  it("repeats a read that failed", async () => {
    const { directory, state, clock } = createTestSetup();
    state.isDown = true;
    const refreshed = directory.refresh();
    while (clock.steadyMs() < 1_000) await Promise.resolve();
    state.isDown = false;
    await refreshed;
    assert.equal(directory.known().length, 1);
  });

  it("reads for each call", async () => {
    const { directory, state } = createTestSetup({ hasTimeouts: false });
    await directory.read(1_500);
    await directory.read(1_500);
    assert.equal(state.reads, 2);
  });

  it("pauses before it repeats a read that failed", async () => {
    const { directory, state, clock, controller } = createTestSetup({
      hasTimeouts: false,
    });
    state.isDown = true;
    await directory.read(1_500);
    await directory.read(1_500);
    assert.equal(state.reads, 1);
    await clock.sleep(250, controller.signal);
    state.isDown = false;
    assert.equal((await directory.read(1_500))?.length, 1);
  });
});
