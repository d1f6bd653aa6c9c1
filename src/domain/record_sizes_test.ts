/**
 * The sizes of a domain's records at their worst. The store rejects a record
 * beyond its limit, and nothing that relies on it may go on.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Buffer } from "node:buffer";
import { isStorable } from "../hosts/mod.ts";
import { findSizeProblem, isStorablePolicy } from "./job_limits.ts";
import {
  cancel,
  createBench,
  type DomainBench,
  ended,
  listing,
  listWorkers,
  policy,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  submit,
  submitRequest,
  tick,
} from "./testing/domain_bench.ts";
import type { Step } from "./job.ts";
import type { EndedRun, ListedRun } from "./worker_report.ts";

/** The most tasks that a step may have. */
const MAX_TASKS = 3_072;
const ROOMY = { cpuMillis: 1e9, memoryMb: 1e9, accelerators: 0 };

function assertStorable(bench: DomainBench): void {
  for (const [key, value] of bench.store) {
    assert.ok(isStorable({ key, value }), `${key}: ${value.length} characters`);
  }
}

function wideStep(taskCount: number, changes: Partial<Step> = {}): Step {
  return step({ taskCount, checkpointed: true, ...changes });
}

/** Lists all tasks of a step as running on a worker. */
function listAll(
  bench: DomainBench,
  worker: string,
  taskCount: number,
  checkpointOf: (index: number) => string,
): void {
  const runs = Array.from(
    { length: taskCount },
    (_, index): ListedRun =>
      running(`a.0.0.${index}`, 1, { checkpoint: checkpointOf(index) }),
  );
  reportFrom(bench, worker, { running: runs });
}

function endedWith(
  number: number,
  task: string,
  end: EndedRun["end"],
  checkpoint: string,
): EndedRun {
  return { ...ended(number, task, 1, end), checkpoint };
}

// Guards against a step whose record is too large for the store because of the
// checkpoints of its tasks (review case 4).
describe("a step whose checkpoints do not fit into its record", () => {
  it("is stored without some of them, and those that no worker lists come first", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    submit(bench, "a", [wideStep(1_200)]);
    const checkpointOf = (index: number) => `${index}`.padStart(250, "x");
    listAll(bench, "w1", 1_200, checkpointOf);
    reportFrom(bench, "w1", {
      running: Array.from(
        { length: 1_199 },
        (_, index) =>
          running(`a.0.0.${index}`, 1, { checkpoint: checkpointOf(index) }),
      ),
      ended: [endedWith(1, "a.0.0.1199", "stopped", checkpointOf(1_199))],
    });
    assertStorable(bench);
    simulateTakeover(bench);
    const tasks = bench.domain.steps.get("a.0.0")!.tasks;
    const kept = tasks.filter((task) =>
      task.kind !== "done" && task.checkpoint !== undefined
    );
    assert.ok(kept.length > 400, `${kept.length} checkpoints are stored`);
    tasks.forEach((task, index) => {
      if (task.kind === "done" || task.checkpoint === undefined) return;
      assert.equal(task.checkpoint, checkpointOf(index));
    });
    const [last] = tasks.slice(-1);
    assert.ok(last?.kind !== "done");
    assert.equal(last?.checkpoint, checkpointOf(1_199));
  });

  it("goes on without those that are longer than a record", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    submit(bench, "a", [wideStep(3)]);
    listAll(bench, "w1", 3, () => "x".repeat(300_000));
    bench.commands.length = 0;
    const commands = reportFrom(bench, "w1", {
      running: [1, 2].map((index) => running(`a.0.0.${index}`, 1)),
      ended: [endedWith(1, "a.0.0.0", "failed", "x".repeat(300_000))],
    });
    assertStorable(bench);
    const [start] = startsIn([...commands, ...tick(bench, 1_000)]);
    assert.equal(start?.task, "a.0.0.0");
    assert.equal(start?.checkpoint, "x".repeat(300_000));
  });

  it("holds a bounded number of them in memory", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    submit(bench, "a", [wideStep(1_000)]);
    listAll(bench, "w1", 1_000, () => "x".repeat(30_000));
    const run = bench.domain.steps.get("a.0.0")!;
    assert.ok(run.checkpointCharacters <= 1_048_576);
    const count =
      bench.commands.filter((command) =>
        command.kind === "report" &&
        command.message === "The checkpoints of a step are too long to be kept."
      ).length;
    assert.equal(count, 1);
  });

  it("keeps an earlier one of a task where the next does not fit", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    submit(bench, "a", [wideStep(2)]);
    listAll(bench, "w1", 2, () => "early");
    listAll(bench, "w1", 2, () => "x".repeat(600_000));
    const checkpoints = bench.domain.steps.get("a.0.0")!.tasks.map((task) =>
      task.kind === "done" ? "" : task.checkpoint
    );
    assert.deepEqual(checkpoints, ["x".repeat(600_000), "early"]);
  });

  it("counts those of tasks that are done no more", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    submit(bench, "a", [wideStep(2)]);
    listAll(bench, "w1", 2, () => "x".repeat(1_000));
    reportFrom(bench, "w1", {
      running: [running("a.0.0.1", 1, { checkpoint: "x".repeat(1_000) })],
      ended: [endedWith(1, "a.0.0.0", "done", "")],
    });
    assert.equal(
      bench.domain.steps.get("a.0.0")!.checkpointCharacters,
      1_000,
    );
    simulateTakeover(bench);
    assert.equal(
      bench.domain.steps.get("a.0.0")!.checkpointCharacters,
      1_000,
    );
  });
});

it("a domain holds a bounded number of checkpoints in memory", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1", { capacity: ROOMY }));
  const jobs = Array.from({ length: 30 }, (_, index) => `job${index}`);
  for (const job of jobs) submit(bench, job, [wideStep(1)]);
  const checkpoint = "x".repeat(1_000_000);
  const listJobs = (text: string) =>
    reportFrom(bench, "w1", {
      running: jobs.map((job) =>
        running(`${job}.0.0.0`, 1, { checkpoint: text })
      ),
    });
  listJobs(checkpoint);
  assert.ok(bench.domain.checkpointCharacters <= 16_777_216);
  // What has become shorter makes room for others.
  listJobs("short");
  tick(bench, 1_000);
  assert.equal(bench.domain.checkpointCharacters, 30 * "short".length);
});

// Guards against members that get different checkpoints after a takeover.
it("a gang whose checkpoints do not fit is restored with that of one member", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1", { capacity: ROOMY }));
  submit(bench, "a", [wideStep(200, { gang: true })]);
  const names = Array.from({ length: 200 }, (_, index) => `a.0.0.${index}`);
  listAll(bench, "w1", 200, () => "");
  const checkpoint = "x".repeat(2_000);
  reportFrom(bench, "w1", {
    ended: names.map((name, index) =>
      endedWith(index + 1, name, "stopped", checkpoint)
    ),
  });
  assertStorable(bench);
  simulateTakeover(bench);
  for (const task of bench.domain.steps.get("a.0.0")!.tasks) {
    assert.ok(task.kind !== "done");
    assert.equal(task.checkpoint, checkpoint);
  }
});

describe("the largest steps", () => {
  it("are stored with workers whose ids are long, and crashes under each task", () => {
    const id = "0f8fad5b-d9cb-469f-a165-70867728950e";
    const bench = createBench();
    listWorkers(bench, listing(id, { capacity: ROOMY }));
    submit(bench, "a", [wideStep(MAX_TASKS)]);
    const run = bench.domain.steps.get("a.0.0")!;
    assert.equal(run.waitingCount, 0);
    for (let index = 0; index < MAX_TASKS; index += 1) {
      run.crashCounts.set(index, 12);
      run.inferredCrashCounts.set(index, 11);
      run.doubtfulCrashCounts.set(index, 10);
      run.crashEvidence.set(index, index + Math.PI);
    }
    listAll(bench, id, MAX_TASKS - 1, (index) => `é${index}`.repeat(9));
    reportFrom(bench, id, {
      ended: [endedWith(1, `a.0.0.${MAX_TASKS - 1}`, "stopped", "é")],
    });
    assertStorable(bench);
    simulateTakeover(bench);
    const restored = bench.domain.steps.get("a.0.0")!;
    const isPlaced = restored.tasks.filter(({ kind }) => kind === "placed");
    assert.equal(isPlaced.length, MAX_TASKS);
    // The tasks with the most evidence are known best.
    assert.ok(restored.crashEvidence.has(MAX_TASKS - 1));
    assert.equal(restored.crashCounts.get(MAX_TASKS - 1), 12);
  });

  it("run in waves where the ids of workers have no room", () => {
    const bench = createBench();
    const id = '"'.repeat(200);
    listWorkers(bench, listing(id, { capacity: ROOMY }));
    submit(bench, "a", [wideStep(MAX_TASKS)]);
    assertStorable(bench);
    const first = bench.domain.steps.get("a.0.0")!.waitingCount;
    assert.ok(first > 0 && first < MAX_TASKS);
    const task = startsIn(bench.commands)[0]!.task;
    const commands = reportFrom(bench, id, {
      ended: [ended(1, task, 1, "done")],
    });
    assert.equal(startsIn(commands).length, 1);
    assertStorable(bench);
  });
});

// Guards against a job that is accepted and has no room in a record.
it("the largest job that is accepted fits into its record, also once it has ended", () => {
  const request = {
    id: "5c0e7a21d94b36f8",
    specification: "",
    steps: [wideStep(2, { requiredLabel: "é".repeat(122_000) })],
  };
  const free = 245_760 - Buffer.byteLength(JSON.stringify(request));
  request.specification = "x".repeat(free);
  assert.equal(findSizeProblem(request), undefined);
  const queue = "q".repeat(15_000);
  assert.ok(isStorablePolicy(policy({ queue })));
  const bench = createBench();
  submitRequest(bench, request, { queue });
  assertStorable(bench);
  cancel(bench, request.id);
  assertStorable(bench);
  request.specification += "x";
  assert.notEqual(findSizeProblem(request), undefined);
});

// Guards against a day of usage that stops its domain (issue 57, step 2).
describe("the usage of many agreements", () => {
  const nameOf = (index: number) =>
    `${"c".repeat(63)}/${`${index}`.padStart(63, "a")}`;
  const COUNT = 6_000;

  function createUsageBench(): DomainBench {
    const bench = createBench();
    listWorkers(bench, listing("w1", { capacity: ROOMY }));
    for (let index = 0; index < COUNT; index += 1) {
      const key = nameOf(index);
      const allocated = { cpuMillis: 1e9, memoryMb: 1e9, accelerators: 1e9 };
      bench.domain.allocatedByAgreement.set(key, allocated);
    }
    tick(bench, 0);
    tick(bench, 10_000);
    return bench;
  }

  it("is stored in several records, and restored from them", () => {
    const bench = createUsageBench();
    assertStorable(bench);
    const [before] = bench.domain.usage.values();
    assert.equal(Object.keys(before!.used).length, COUNT);
    simulateTakeover(bench);
    const [after, ...others] = bench.domain.usage.values();
    assert.deepEqual(after, before);
    assert.deepEqual(others, []);
  });

  it("is read from the one record of earlier versions", () => {
    const bench = createBench();
    const used = {
      "press/desk": { cpuMillisMs: 1, memoryMbMs: 2, acceleratorMs: 3 },
    };
    const usage = { observedMs: 4, unobservedMs: 5, untilMs: 6, used };
    bench.store.set("usage/2026-12-04", JSON.stringify(usage));
    simulateTakeover(bench);
    assert.deepEqual([...bench.domain.usage], [["2026-12-04", usage]]);
  });
});

describe("the record of a small step", () => {
  const RECORD = '{"tasks":[[0,0,0,""],[1,1,0,"","w1",1]],' +
    '"gangFailures":0,"gangFailedAttempt":0}';

  it("is that of earlier versions", () => {
    const bench = createBench();
    const capacity = { cpuMillis: 1_000, memoryMb: 8_000, accelerators: 0 };
    listWorkers(bench, listing("w1", { capacity }));
    submit(bench, "a", [step({ taskCount: 2 })]);
    const tasks = JSON.parse(bench.store.get("step/a.0.0")!).tasks;
    assert.deepEqual(tasks.toSorted(), JSON.parse(RECORD).tasks);
    assert.equal(bench.store.get("step/a.0.0")!.length, RECORD.length);
  });

  it("is read if an earlier version wrote it, with crashes", () => {
    const bench = createBench();
    submit(bench, "a", [step({ taskCount: 2 })]);
    const written = RECORD.replace(
      /}$/,
      ',"crashCounts":[[1,2]],"crashEvidence":[[1,3.5]]}',
    );
    bench.store.set("step/a.0.0", written);
    simulateTakeover(bench);
    const run = bench.domain.steps.get("a.0.0")!;
    assert.deepEqual(run.tasks.map(({ kind }) => kind), ["waiting", "placed"]);
    assert.deepEqual([...run.crashCounts], [[1, 2]]);
    assert.deepEqual([...run.crashEvidence], [[1, 3.5]]);
  });
});
