import assert from "node:assert/strict";
import { test } from "node:test";
import type { Policy, Request, Task } from "../model/mod.ts";
import {
  createPlacement,
  explainTask,
  type Placement,
  type PlacementCommand,
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
  assert.equal(commands.length, 8);
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
  assert.deepEqual(submit(placement, "g", 8, "gang"), []);
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

function twoWorkers(): Placement {
  const placement = createPlacement({
    preference: "waiting",
    randomness: { integer: (low) => low },
    maxQueuedTasks: 100,
  });
  for (const id of ["w0", "w1"]) {
    stepPlacement(placement, {
      kind: "workerJoined",
      worker: { id, url: "", zone: "z", region: "r", rack: `rack-${id}` },
      capacity: {
        resources: { cpuMillis: 4000, memoryMb: 4000, accelerators: 0 },
        slots: 8,
        connections: 64,
      },
      token: 1,
      records: [],
    }, 0);
  }
  return placement;
}

function submit(
  placement: Placement,
  id: string,
  count: number,
  kind: Policy["kind"],
): PlacementCommand[] {
  const policy: Policy = kind === "gang" ? { kind, holdMs: 1000 } : { kind };
  const common = { customer: "c", agreement: "c-a", work: kind };
  const tasks = Array.from({ length: count }, (_, index): Task => ({
    ...common,
    id: `${id}/${index}`,
    requestId: id,
    index,
    count,
    attempt: 1,
    policy,
    urgency: 3,
    idempotent: true,
    demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
    durationMs: 1000,
    payload: undefined,
  }));
  const request: Request = {
    ...common,
    id,
    digest: id,
    durable: false,
    acceptedAtMs: 0,
    tasks,
  };
  return stepPlacement(placement, { kind: "submitted", request, tasks }, 0);
}
