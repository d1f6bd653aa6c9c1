import assert from "node:assert/strict";
import { test } from "node:test";
import type { Manifest, Outcome } from "../../src/model/mod.ts";
import type { RunRecord } from "../platform/worker.ts";
import type { HeardOrder } from "./submitter.ts";
import { formatVerdict, judge, type RecordedWorker } from "./verdict.ts";

const MANIFEST: Manifest = {
  customers: [{ name: "c" }],
  agreements: [{
    name: "a",
    customer: "c",
    share: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
    work: ["once", "again"].map((name) => ({
      name,
      policy: { kind: "batch" },
      service: "default",
      urgency: 5,
      idempotent: name === "again",
      durable: false,
      demand: { cpuMillis: 1_000, memoryMb: 500, accelerators: 0 },
      durationMs: 10,
    })),
  }],
};

test("verdict: an order that ran once and was heard is right", () => {
  const workers = [workerOf("w1", [runOf("r1.0.0.0")])];
  assert.equal(
    formatVerdict(judge(workers, MANIFEST, [heardOf()])),
    "submitted=1 ran=1 twice=0 lost=0 over_capacity=0",
  );
});

test("verdict: a second start at another worker counts as twice", () => {
  const workers = [
    workerOf("w1", [runOf("r1.0.0.0")]),
    workerOf("w2", [runOf("r1.0.0.0", 20, 30)]),
  ];
  assert.equal(judge(workers, MANIFEST, [heardOf()]).twice, 1);
});

test("verdict: idempotent work may run again, but not in two places", () => {
  const again = (startedAtMs: number) => [
    workerOf("w1", [runOf("r1.0.0.0", 0, 10, "again")]),
    workerOf("w2", [runOf("r1.0.0.0", startedAtMs, 30, "again")]),
  ];
  assert.equal(judge(again(10), MANIFEST, [heardOf()]).twice, 0);
  assert.equal(judge(again(9), MANIFEST, [heardOf()]).twice, 1);
});

test("verdict: a run after 'did not run' counts as twice", () => {
  const workers = [workerOf("w1", [runOf("r0.0.0.0"), runOf("r1.0.0.0")])];
  assert.equal(judge(workers, MANIFEST, [heardOf(["r0", "r1"])]).twice, 1);
});

test("verdict: an order without a right answer is lost", () => {
  const workers = [workerOf("w1", [runOf("r1.0.0.0")])];
  const wrong = [
    { ...heardOf(), outcome: undefined },
    { ...heardOf(), outcome: outcomeOf("stopped") },
    { ...heardOf(), outcome: { kind: "ran", tasks: [] } satisfies Outcome },
    heardOf(["r2"]),
  ];
  assert.equal(judge(workers, MANIFEST, wrong).lost, wrong.length);
  const broken = [
    workerOf("w1", [{ ...runOf("r1.0.0.0"), end: "stopped" }]),
  ];
  assert.equal(judge(broken, MANIFEST, [heardOf()]).lost, 1);
});

test("verdict: a task that did not run must run under a later order", () => {
  const partly: HeardOrder = {
    ...heardOf(),
    outcome: {
      kind: "ran",
      tasks: [{ kind: "didNotRun", index: 0, cause: "" }],
    },
  };
  const workers = [workerOf("w1", [runOf("r2.0.0.0")])];
  assert.equal(judge(workers, MANIFEST, [partly]).lost, 1);
  const again = { ...partly, rest: heardOf(["r2"]) };
  assert.deepEqual(judge(workers, MANIFEST, [again]).faults, []);
  const denied = [workerOf("w1", [runOf("r1.0.0.0"), runOf("r2.0.0.0")])];
  assert.equal(judge(denied, MANIFEST, [again]).twice, 1);
  const missing = { ...partly, rest: heardOf(["r3"]) };
  assert.equal(judge(workers, MANIFEST, [missing]).lost, 1);
});

test("verdict: a worker that holds more than it has is named", () => {
  const runs = [0, 1, 2].map((index) => runOf(`r${index}.0.0.0`));
  const heard = [0, 1, 2].map((index) => heardOf([`r${index}`]));
  const verdict = judge([workerOf("w1", runs)], MANIFEST, heard);
  assert.deepEqual(verdict.faults, ["over capacity: w1"]);
  const two = [workerOf("w1", runs.slice(0, 2)), workerOf("w2", [runs[2]!])];
  assert.equal(judge(two, MANIFEST, heard).overCapacity, 0);
});

function runOf(
  task: string,
  startedAtMs = 0,
  endedAtMs = 10,
  work = "once",
): RunRecord {
  const specification = JSON.stringify({ agreement: "a", work, steps: [] });
  return {
    task,
    attempt: 1,
    specification,
    startedAtMs,
    endedAtMs,
    end: "done",
  };
}

function workerOf(id: string, started: RunRecord[]): RecordedWorker {
  const capacity = { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0 };
  return { id, capacity, started };
}

function heardOf(ids = ["r1"]): HeardOrder {
  const submission = { agreement: "a", work: "w", tasks: [{}] };
  const order = { key: "order-1", token: "t", submission };
  const notes = { latest: "none", complaints: [], cuts: [] };
  return { order, ids, outcome: outcomeOf("finished"), ...notes };
}

function outcomeOf(kind: "finished" | "stopped"): Outcome {
  const task = kind === "finished"
    ? { kind, index: 0, attempt: 1 }
    : { kind, index: 0, attempt: 1, cause: "" };
  return { kind: "ran", tasks: [task] };
}
