import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { diagnostics } from "../../src/diagnostics/mod.ts";
import type { Task } from "../../src/model/mod.ts";
import { createWorker, type Worker, type WorkerOptions } from "./mod.ts";

const OPTIONS: WorkerOptions = {
  id: "worker-1",
  zone: "kigali",
  region: "rwanda",
  rack: "kigali-a",
  capacity: {
    resources: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 1 },
    slots: 3,
    connections: 64,
  },
};

// deno-lint-ignore no-explicit-any
type Reply = { status: number; body: any };
type Post = (path: string, body: unknown) => Promise<Reply>;

test("worker: an acquisition compares and sets the token", async () => {
  await withWorker({}, async (post) => {
    const first = await post("/v1/acquire", {
      holder: "a/1",
      expectedToken: 0,
    });
    assert.equal(first.body.token, 1);
    const late = await post("/v1/acquire", { holder: "b/1", expectedToken: 0 });
    assert.equal(late.status, 409);
    assert.deepEqual(late.body.data, {
      token: 1,
      holder: "a/1",
      lapsed: false,
    });
    const next = await post("/v1/acquire", { holder: "b/1", expectedToken: 1 });
    assert.equal(next.body.token, 2);
    const stale = await post("/v1/start", { token: 1, task: taskOf("t/0") });
    assert.equal(stale.body.code, diagnostics.tokenStale.code);
  });
});

test("worker: a repeated start runs the task once", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    const task = taskOf("t/0", { payload: { runMs: 1, output: "card" } });
    await post("/v1/start", { token, task });
    const changed = await finishedRecords(post, token);
    assert.equal(changed[0].output, "card");
    const again = await post("/v1/start", { token, task });
    assert.equal(again.body.state, "finished");
    const retry = { ...task, attempt: 2 };
    const refused = await post("/v1/start", { token, task: retry });
    assert.equal(refused.body.task.attempt, 1);
    assert.equal(worker.audit().runs.length, 1);
    assert.deepEqual(worker.audit().twice, []);
  });
});

test("worker: a higher attempt of idempotent work starts anew", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    const task = taskOf("t/0", { idempotent: true });
    await post("/v1/start", { token, task });
    const whileRunning = { ...task, attempt: 2 };
    const running = await post("/v1/start", { token, task: whileRunning });
    assert.equal(running.body.task.attempt, 1);
    await post("/v1/stop", { token, taskId: "t/0" });
    const anew = await post("/v1/start", { token, task: whileRunning });
    assert.equal(anew.body.task.attempt, 2);
    assert.equal(worker.audit().runs.length, 2);
  });
});

test("worker: a stop of an unseen task bars its id", async () => {
  await withWorker({}, async (post) => {
    const token = await acquire(post, "a/1", 0);
    const stopped = await post("/v1/stop", { token, taskId: "t/0" });
    assert.deepEqual(stopped.body, {});
    const later = await acquire(post, "b/1", token);
    const start = await post("/v1/start", {
      token: later,
      task: taskOf("t/0"),
    });
    assert.equal(start.status, 409);
    assert.equal(start.body.code, diagnostics.taskBarred.code);
  });
});

test("worker: no task is admitted above the capacity", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    const demand = { cpuMillis: 2_000, memoryMb: 1, accelerators: 0 };
    const statuses = [];
    for (const id of ["t/0", "t/1", "t/2"]) {
      const task = taskOf(id, { demand });
      statuses.push((await post("/v1/start", { token, task })).status);
    }
    assert.deepEqual(statuses, [200, 200, 507]);
    await post("/v1/checkpoint", { token, taskId: "t/0" });
    const third = taskOf("t/2", { demand });
    assert.equal((await post("/v1/start", { token, task: third })).status, 200);
    await post("/v1/stop", { token, taskId: "t/2" });
    const resumed = taskOf("t/0", { demand });
    const record = await post("/v1/start", { token, task: resumed });
    assert.equal(record.body.state, "running");
    assert.equal(worker.audit().overCapacity, 0);
    assert.deepEqual(worker.audit().twice, []);
  });
});

test("worker: a lapsed lease stops what runs and keeps its token", async () => {
  await withWorker({ leaseMs: 20 }, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    await post("/v1/start", { token, task: taskOf("t/0") });
    await until(() => worker.audit().runs[0]?.ended === "stopped");
    const late = await renew(post, token, 0);
    assert.deepEqual(late.body.data, { token: 1, holder: "a/1", lapsed: true });
    const next = await post("/v1/acquire", { holder: "b/1", expectedToken: 1 });
    assert.equal(next.body.records[0].state, "stopped");
  });
});

test("worker: a takeover leaves the tasks running", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    await post("/v1/start", { token, task: taskOf("t/0") });
    const next = await post("/v1/acquire", {
      holder: "b/1",
      expectedToken: token,
    });
    assert.equal(next.body.records[0].state, "running");
    assert.equal(worker.audit().runs[0]?.ended, undefined);
  });
});

test("worker: a barred holder is refused in every command", async () => {
  await withWorker({}, async (post) => {
    const token = await acquire(post, "a/1", 0);
    const next = await acquire(post, "b/1", token);
    await renew(post, next, 0, ["a/1"]);
    const back = await post("/v1/acquire", {
      holder: "a/1",
      expectedToken: next,
    });
    assert.equal(back.body.code, diagnostics.holderBarred.code);
  });
});

test("worker: usage is cumulative and reported after the lag", async () => {
  await withWorker({ usageLagMs: 0 }, async (post) => {
    const token = await acquire(post, "a/1", 0);
    const task = taskOf("t/0", { payload: { runMs: 5 } });
    await post("/v1/start", { token, task });
    await finishedRecords(post, token);
    const { body } = await renew(post, token, 0);
    assert.equal(body.usage[0].customer, "press");
    assert.ok(body.usage[0].cpuMillisMs > 0);
    const next = await post("/v1/acquire", { holder: "b/1", expectedToken: 1 });
    const again = await renew(post, next.body.token, next.body.lastEvent);
    assert.deepEqual(again.body.usage, body.usage);
  });
});

test("worker: a leaving worker takes nothing new and says so", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    const waiting = renew(post, token, 0, [], 600_000);
    worker.control({ leaving: true });
    assert.equal((await waiting).body.leaving, true);
    const start = await post("/v1/start", { token, task: taskOf("t/0") });
    assert.equal(start.body.code, diagnostics.workerLeaving.code);
  });
});

test("worker: a lost answer hides an effect that took place", async () => {
  await withWorker({}, async (post, worker) => {
    const token = await acquire(post, "a/1", 0);
    worker.control({ loseAnswers: 1, losePath: "/v1/start" });
    const task = taskOf("t/0");
    await assert.rejects(post("/v1/start", { token, task }));
    assert.equal(worker.audit().runs.length, 1);
    const again = await post("/v1/start", { token, task });
    assert.equal(again.body.state, "running");
    assert.equal(worker.audit().runs.length, 1);
  });
});

function taskOf(id: string, changes: Partial<Task> = {}): Task {
  return {
    id,
    requestId: "t",
    index: 0,
    count: 1,
    attempt: 1,
    customer: "press",
    agreement: "orders",
    work: "proof",
    policy: { kind: "batch" },
    urgency: 5,
    idempotent: false,
    demand: { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 },
    durationMs: 600_000,
    payload: {},
    ...changes,
  };
}

async function withWorker(
  changes: Partial<WorkerOptions>,
  body: (post: Post, worker: Worker) => Promise<void>,
): Promise<void> {
  const worker = createWorker({ ...OPTIONS, ...changes });
  const url = await worker.listen(0);
  const post: Post = async (path, call) => {
    const reply = await request(url + path, {
      method: "POST",
      body: JSON.stringify(call),
    });
    return { status: reply.statusCode, body: await reply.body.json() };
  };
  try {
    await body(post, worker);
  } finally {
    await worker.close();
  }
}

async function acquire(
  post: Post,
  holder: string,
  expectedToken: number,
): Promise<number> {
  const reply = await post("/v1/acquire", { holder, expectedToken });
  return reply.body.token;
}

function renew(
  post: Post,
  token: number,
  afterEvent: number,
  barred: string[] = [],
  waitMs = 0,
): Promise<Reply> {
  return post("/v1/renew", { token, afterEvent, waitMs, barred });
}

/** Waits until the first task of the worker has finished. */
async function finishedRecords(post: Post, token: number) {
  let afterEvent = 0;
  while (true) {
    const { body } = await renew(post, token, afterEvent, [], 1_000);
    afterEvent = body.lastEvent;
    // deno-lint-ignore no-explicit-any
    const isDone = body.changed.some((row: any) => row.state === "finished");
    if (isDone) return body.changed;
  }
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
