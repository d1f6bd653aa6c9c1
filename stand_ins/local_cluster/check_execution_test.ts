import assert from "node:assert/strict";
import { test } from "node:test";
import type { Manifest, Outcome } from "../../src/model/mod.ts";
import type { RunRecord } from "../platform/worker.ts";
import type { WorkItemResult } from "./submit_work_item.ts";
import {
  checkExecution,
  formatExecutionCheck,
  type WorkerHistory,
} from "./check_execution.ts";

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

test("execution check: a work item that ran once and was reported so passes", () => {
  const workers = [historyOf("w1", [runOf("r1.0.0.0")])];
  assert.equal(
    formatExecutionCheck(checkExecution(workers, MANIFEST, [resultOf()])),
    "submitted=1 ran=1 twice=0 lost=0 over_capacity=0",
  );
});

test("execution check: a second start on another worker counts as twice", () => {
  const workers = [
    historyOf("w1", [runOf("r1.0.0.0")]),
    historyOf("w2", [runOf("r1.0.0.0", 20, 30)]),
  ];
  assert.equal(checkExecution(workers, MANIFEST, [resultOf()]).twice, 1);
});

test("execution check: idempotent work may be retried, but its runs may not overlap", () => {
  const again = (startedAtMs: number) => [
    historyOf("w1", [runOf("r1.0.0.0", 0, 10, "again")]),
    historyOf("w2", [runOf("r1.0.0.0", startedAtMs, 30, "again")]),
  ];
  assert.equal(checkExecution(again(10), MANIFEST, [resultOf()]).twice, 0);
  assert.equal(checkExecution(again(9), MANIFEST, [resultOf()]).twice, 1);
});

test("execution check: a run of a task that was reported as not run counts as twice", () => {
  const workers = [historyOf("w1", [runOf("r0.0.0.0"), runOf("r1.0.0.0")])];
  assert.equal(
    checkExecution(workers, MANIFEST, [resultOf(["r0", "r1"])]).twice,
    1,
  );
});

test("execution check: a work item with a missing or wrong outcome counts as lost", () => {
  const workers = [historyOf("w1", [runOf("r1.0.0.0")])];
  const wrong = [
    { ...resultOf(), outcome: undefined },
    { ...resultOf(), outcome: outcomeOf("stopped") },
    { ...resultOf(), outcome: { kind: "ran", tasks: [] } satisfies Outcome },
    resultOf(["r2"]),
  ];
  assert.equal(checkExecution(workers, MANIFEST, wrong).lost, wrong.length);
  const stopped = [
    historyOf("w1", [{ ...runOf("r1.0.0.0"), end: "stopped" }]),
  ];
  assert.equal(checkExecution(stopped, MANIFEST, [resultOf()]).lost, 1);
});

test("execution check: a task that did not run must run in the resubmission", () => {
  const partial: WorkItemResult = {
    ...resultOf(),
    outcome: {
      kind: "ran",
      tasks: [{ kind: "didNotRun", index: 0, cause: "" }],
    },
  };
  const workers = [historyOf("w1", [runOf("r2.0.0.0")])];
  assert.equal(checkExecution(workers, MANIFEST, [partial]).lost, 1);
  const resubmitted = { ...partial, resubmission: resultOf(["r2"]) };
  assert.deepEqual(
    checkExecution(workers, MANIFEST, [resubmitted]).violations,
    [],
  );
  const contradicting = [
    historyOf("w1", [runOf("r1.0.0.0"), runOf("r2.0.0.0")]),
  ];
  assert.equal(checkExecution(contradicting, MANIFEST, [resubmitted]).twice, 1);
  const missing = { ...partial, resubmission: resultOf(["r3"]) };
  assert.equal(checkExecution(workers, MANIFEST, [missing]).lost, 1);
});

test("execution check: a worker above its capacity is reported", () => {
  const runs = [0, 1, 2].map((index) => runOf(`r${index}.0.0.0`));
  const results = [0, 1, 2].map((index) => resultOf([`r${index}`]));
  const check = checkExecution([historyOf("w1", runs)], MANIFEST, results);
  assert.deepEqual(check.violations, ["over capacity: w1"]);
  const two = [historyOf("w1", runs.slice(0, 2)), historyOf("w2", [runs[2]!])];
  assert.equal(checkExecution(two, MANIFEST, results).overCapacity, 0);
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

function historyOf(id: string, started: RunRecord[]): WorkerHistory {
  const capacity = { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0 };
  return { id, capacity, started };
}

function resultOf(requestIds = ["r1"]): WorkItemResult {
  const submission = { agreement: "a", work: "w", tasks: [{}] };
  const workItem = { key: "order-1", token: "t", submission };
  const replies = {
    lastReply: "none",
    clientErrors: [],
    connectionFailures: [],
  };
  return { workItem, requestIds, outcome: outcomeOf("finished"), ...replies };
}

function outcomeOf(kind: "finished" | "stopped"): Outcome {
  const task = kind === "finished"
    ? { kind, index: 0, attempt: 1 }
    : { kind, index: 0, attempt: 1, cause: "" };
  return { kind: "ran", tasks: [task] };
}
