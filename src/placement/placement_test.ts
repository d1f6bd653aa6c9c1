import assert from "node:assert/strict";
import { test } from "node:test";
import {
  emptyPlacement,
  end,
  join,
  makeTasks,
  offered,
  submit,
  twoWorkers,
} from "./fixture_test.ts";
import {
  explainTask,
  placementLoad,
  queuedTasks,
  runningTasks,
  stepPlacement,
  workerUsage,
} from "./mod.ts";

test("placement: a task starts where it fits, once", () => {
  const placement = twoWorkers();
  const first = submit(placement, "a", 1, "batch");
  assert.equal(first.length, 1);
  assert.equal(first[0]?.kind, "start");
  assert.deepEqual(submit(placement, "a", 1, "batch"), []);
  assert.match(explainTask(placement, "a/0", 5)[0] ?? "", /sent to start/);
});

test("placement: a worker never gets more than its capacity", () => {
  const placement = twoWorkers();
  const commands = submit(placement, "a", 20, "batch");
  assert.equal(commands.filter(({ kind }) => kind === "start").length, 8);
  const rest = commands.filter(({ kind }) => kind !== "start");
  assert.deepEqual(rest.map(offered), [12]);
  assert.equal(queuedTasks(placement).length, 12);
  for (const id of ["w0", "w1"]) {
    assert.equal(runningTasks(placement, id).length, 4);
    assert.equal(workerUsage(placement, id).cpuMillis, 4000);
  }
});

test("placement: a task that ends makes room for the next", () => {
  const placement = twoWorkers();
  submit(placement, "a", 9, "batch");
  const ended = stepPlacement(placement, {
    kind: "taskChanged",
    worker: "w0",
    record: {
      task: runningTasks(placement, "w0")[0]!,
      state: "finished",
      startedAtMs: 0,
      endedAtMs: 1,
    },
  }, 1);
  assert.equal(ended.length, 1);
  assert.equal(placementLoad(placement).queued, 0);
});

test("placement: a gang starts as a whole or not at all", () => {
  const placement = twoWorkers();
  submit(placement, "a", 1, "batch");
  assert.deepEqual(submit(placement, "g", 8, "gang").map(offered), [8]);
  assert.equal(submit(placement, "h", 7, "gang").length, 7);
});

test("placement: a refused start goes back to the queue", () => {
  const placement = twoWorkers();
  submit(placement, "a", 1, "batch");
  const worker = placement.tasks.get("a/0");
  assert.equal(worker?.kind, "placed");
  stepPlacement(placement, {
    kind: "startRefused",
    worker: "w0",
    taskId: "a/0",
    refusal: "leaving",
  }, 1);
  const again = stepPlacement(placement, { kind: "ticked" }, 2);
  assert.deepEqual(again.map((c) => c.kind === "start" && c.worker), ["w1"]);
});

test("placement: a worker that fails everything is set aside, then probed", () => {
  const placement = twoWorkers();
  const failed: string[] = [];
  for (let i = 0; i < 40; i++) {
    for (
      const command of submit(placement, `a${i}`, 1, "batch", { atMs: 10 * i })
    ) {
      if (command.kind !== "start") continue;
      const state = command.worker === "w0" ? "failed" : "finished";
      if (state === "failed") failed.push(command.worker);
      end(placement, command.worker, command.task, state, 10 * i + 5);
    }
  }
  assert.ok(failed.length <= 6, `${failed.length} failures`);
  stepPlacement(placement, { kind: "ticked" }, 60_000);
  const probe = submit(placement, "p", 2, "batch", { atMs: 60_001 });
  const workers = probe.map((c) => c.kind === "start" ? c.worker : c.kind);
  assert.deepEqual(workers, ["w0", "w1"]);
  const task = runningTasks(placement, "w0")[0]!;
  end(placement, "w0", task, "finished", 60_010);
  const next = submit(placement, "q", 7, "batch", { atMs: 60_020 });
  assert.equal(next.filter(({ kind }) => kind === "start").length, 7);
});

test("placement: work that always fails takes few workers out", () => {
  const placement = emptyPlacement();
  for (let i = 0; i < 10; i++) join(placement, `w${i}`);
  for (let i = 0; i < 40; i++) {
    const atMs = 10 * i;
    const commands = submit(placement, `a${i}`, 30, "batch", { atMs });
    for (const command of commands) {
      if (command.kind !== "start") continue;
      end(placement, command.worker, command.task, "failed", atMs + 5);
    }
  }
  assert.ok(placement.suspended.size <= 1, `${placement.suspended.size} aside`);
});

test("placement: unrunnable work is refused once the workers are known", () => {
  const placement = twoWorkers();
  const early = submit(placement, "g", 9, "gang");
  assert.deepEqual(early.map(offered), [9]);
  const known = stepPlacement(placement, { kind: "peersKnown", shapes: [] }, 1);
  assert.equal(known.length, 9);
  assert.ok(known.every((c) => c.kind === "refuse" && c.code === 4003));
  const huge = submit(placement, "h", 1, "batch", {
    atMs: 1,
    cpuMillis: 99_000,
  });
  assert.ok(huge.every((c) => c.kind === "refuse" && c.code === 4001));
  assert.equal(huge.length, 1);
});

test("placement: a peer that can hold the work keeps it from refusal", () => {
  const placement = twoWorkers();
  const resources = { cpuMillis: 99_000, memoryMb: 99_000, accelerators: 0 };
  const shapes = [{ resources, slots: 8, count: 1 }];
  stepPlacement(placement, { kind: "peersKnown", shapes }, 1);
  assert.deepEqual(
    submit(placement, "h", 1, "batch", { atMs: 1, cpuMillis: 99_000 }).map(
      offered,
    ),
    [
      1,
    ],
  );
});

test("placement: no workers known means wait", () => {
  const placement = emptyPlacement();
  stepPlacement(placement, { kind: "peersKnown", shapes: [] }, 0);
  assert.deepEqual(submit(placement, "a", 1, "batch").map(offered), [1]);
});

test("placement: a full queue refuses the newest least urgent work", () => {
  const placement = twoWorkers();
  submit(placement, "first", 58, "batch");
  submit(placement, "second", 50, "batch");
  const over = submit(placement, "urgent", 3, "batch", { atMs: 1, urgency: 8 });
  const refused = over.flatMap((c) => c.kind === "refuse" ? [c.taskId] : []);
  assert.deepEqual(refused, ["second/49", "second/48", "second/47"]);
  assert.equal(placementLoad(placement).queued, 100);
});

test("placement: nothing starts after its deadline", () => {
  const placement = twoWorkers();
  const started = submit(placement, "a", 9, "batch", { startByMs: 50 });
  const running = started.find((c) => c.kind === "start")!.task;
  const late = stepPlacement(placement, { kind: "ticked" }, 50);
  assert.deepEqual(late.map((c) => c.kind === "refuse" && c.code), [4002]);
  assert.deepEqual(end(placement, "w0", running, "finished", 51), []);
});

test("placement: a later attempt is not bound by the start deadline", () => {
  const placement = twoWorkers();
  const again = submit(placement, "a", 1, "batch", {
    atMs: 100,
    startByMs: 50,
    attempt: 2,
  });
  assert.equal(again.filter(({ kind }) => kind === "start").length, 1);
});

test("placement: a refused start is still bound by the deadline", () => {
  const placement = twoWorkers();
  submit(placement, "a", 1, "batch", { startByMs: 50 });
  stepPlacement(placement, {
    kind: "startRefused",
    worker: "w0",
    taskId: "a/0",
    refusal: "capacity",
  }, 49);
  const late = stepPlacement(placement, { kind: "ticked" }, 60);
  assert.deepEqual(late.map((c) => c.kind === "refuse" && c.code), [4002]);
});

test("placement: a waiting task is explained", () => {
  const placement = twoWorkers();
  submit(placement, "a", 8, "batch");
  submit(placement, "b", 1, "batch");
  const event = { kind: "workerLeaving", worker: "w0" } as const;
  stepPlacement(placement, event, 1);
  assert.deepEqual(explainTask(placement, "b/0", 10), [
    "waits since 10 ms with urgency 3",
    "needs 1000 cpuMillis, 100 MiB, 0 accelerators",
    "1 workers are leaving",
    "1 workers are full",
  ]);
});

test("placement: a gang that these workers cannot hold is explained", () => {
  const placement = twoWorkers();
  submit(placement, "g", 9, "gang");
  const lines = explainTask(placement, "g/0", 10);
  assert.ok(lines.includes("starts with 9 at once; empty workers here hold 8"));
});

test("placement: a worker acquired again keeps starts without an answer", () => {
  const placement = twoWorkers();
  submit(placement, "a", 1, "batch");
  join(placement, "w0");
  assert.deepEqual(runningTasks(placement, "w0").map(({ id }) => id), ["a/0"]);
  assert.deepEqual(submit(placement, "a", 1, "batch"), []);
});

test("placement: a refusal of an old token says nothing of the new one", () => {
  const placement = emptyPlacement();
  join(placement, "w0");
  submit(placement, "a", 1, "batch");
  join(placement, "w0", { token: 2 });
  stepPlacement(placement, {
    kind: "startRefused",
    worker: "w0",
    taskId: "a/0",
    refusal: "stale",
  }, 10);
  const again = stepPlacement(placement, { kind: "ticked" }, 20);
  assert.deepEqual(again.map((c) => c.kind === "start" && c.token), [2]);
});

test("placement: records of running tasks count, remembered ones do not", () => {
  const placement = emptyPlacement();
  const [running, ended] = makeTasks("x", 2, "batch", {});
  const records = [
    { task: running!, state: "running" as const, startedAtMs: 0 },
    { task: ended!, state: "finished" as const, startedAtMs: 0, endedAtMs: 1 },
  ];
  submit(placement, "x", 1, "batch");
  assert.deepEqual(join(placement, "w0", { records }), []);
  assert.equal(workerUsage(placement, "w0").cpuMillis, 1000);
  assert.equal(placementLoad(placement).queued, 0);
});

test("placement: a wave of withdrawals leaves nothing queued", () => {
  const placement = twoWorkers();
  submit(placement, "a", 100, "batch");
  const taskIds = Array.from({ length: 100 }, (_, i) => `a/${i}`);
  const commands = stepPlacement(placement, { kind: "withdrawn", taskIds }, 1);
  assert.equal(placementLoad(placement).queued, 0);
  assert.equal(commands.length, 8);
  assert.ok(commands.every((c) => c.kind === "yield" && c.yielding === "stop"));
});
