import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DomainCommand } from "../domain/mod.ts";
import { createUnstoredJobs } from "./unstored_jobs.ts";

const STEP = "step/wide.0.0";

function stop(job: string): DomainCommand {
  return {
    kind: "order",
    order: { kind: "stop", worker: "w1", task: `${job}.0.0.1`, attempt: 1 },
  };
}

function acknowledge(worker: string, lastEnd: number): DomainCommand {
  return { kind: "acknowledge", worker, bornMs: 1, lastEnd };
}

function createBench(endsByWorker: Record<string, string[]> = {}) {
  return createUnstoredJobs({
    jobOfCall: (call) => call === 1 ? "wide" : undefined,
    endsListedBy: (worker) => endsByWorker[worker] ?? [],
  });
}

// Guards against commands that rely on a record which the store has rejected: a
// takeover would not know of what they have told workers and callers.
describe("unstored jobs", () => {
  it("releases everything while all records are stored", () => {
    const unstored = createBench();
    const commands = [stop("wide"), stop("other")];
    unstored.settle([{ key: STEP, value: "{}" }], []);
    assert.deepEqual(unstored.release(commands), commands);
    assert.equal(unstored.isSeparate(STEP), false);
  });

  it("holds what relies on a rejected record until it is stored", () => {
    const unstored = createBench();
    unstored.settle([], [{ key: STEP, value: "{}" }]);
    const answer: DomainCommand = {
      kind: "answer",
      call: 1,
      answer: { kind: "accepted" },
    };
    const released = unstored.release([stop("wide"), stop("other"), answer]);
    assert.deepEqual(released, [stop("other")]);
    assert.equal(unstored.isSeparate(STEP), true);
    assert.equal(unstored.isSeparate("job/wide"), true);
    assert.equal(unstored.isSeparate("job/other"), false);
    unstored.settle([{ key: STEP, value: "{}" }], []);
    assert.deepEqual(unstored.release([stop("third")]), [
      stop("wide"),
      answer,
      stop("third"),
    ]);
  });

  it("holds later acknowledgements to a worker, which cover held ends", () => {
    const ends = { w1: ["wide.0.0.1", "other.0.0.1"], w2: ["other.0.0.2"] };
    const unstored = createBench(ends);
    unstored.settle([], [{ key: STEP, value: "{}" }]);
    const held = [acknowledge("w1", 4), acknowledge("w1", 5)];
    const free = acknowledge("w2", 9);
    assert.deepEqual(unstored.release([...held, free]), [free]);
    assert.deepEqual(unstored.release([]), []);
    // The record of a job that has ended is deleted.
    unstored.settle([{ key: STEP, value: undefined }], []);
    assert.deepEqual(unstored.release([]), held);
  });

  it("holds nothing for records that belong to no job", () => {
    const unstored = createBench();
    unstored.settle([], [{ key: "usage/2026-12-07", value: "{}" }]);
    assert.deepEqual(unstored.release([stop("other")]), [stop("other")]);
    assert.equal(unstored.isSeparate("usage/2026-12-07"), true);
    assert.equal(unstored.isSeparate("usage/2026-12-06"), false);
  });

  // Guards against records that are never stored since each try is mixed with
  // one that is rejected.
  it("tries each of several rejected jobs by itself, and again later", () => {
    const unstored = createBench();
    const other = { key: "job/other", value: "{}" };
    unstored.settle([], [{ key: STEP, value: "{}" }, other]);
    assert.deepEqual(unstored.takeRetry(), { group: "wide", keys: [STEP] });
    unstored.settle([], [{ key: STEP, value: "{}" }]);
    assert.deepEqual(unstored.takeRetry(), {
      group: "other",
      keys: ["job/other"],
    });
    unstored.settle([other], []);
    assert.equal(unstored.takeRetry(), undefined);
    assert.equal(unstored.isSeparate("job/other"), false);
    unstored.scheduleRetries();
    assert.deepEqual(unstored.takeRetry(), { group: "wide", keys: [STEP] });
  });
});
