import assert from "node:assert/strict";
import { test } from "node:test";
import { createScriptedServer } from "../../stand_ins/scripted/mod.ts";
import { createWorker, type Worker } from "../../stand_ins/worker/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { WorkerHost } from "../hosts/mod.ts";
import type { Task, WorkerAddress } from "../model/mod.ts";
import { createHttpCaller, createWorkerClient } from "./mod.ts";

const NEVER = new AbortController().signal;
const PATIENCE_MS = 60_000;
const PLACE = { zone: "kigali", region: "rwanda", rack: "kigali-a" };
const TASK: Task = {
  id: "t/0",
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
  payload: { runMs: 1, output: "card" },
};

type Body = (
  host: WorkerHost,
  address: WorkerAddress,
  worker: Worker,
) => Promise<void>;

test("worker client: a task runs and its output comes back", async () => {
  await withWorker(async (host, address) => {
    const token = await acquire(host, address, "a/1", 0);
    const started = await host.start(address, token, TASK, NEVER);
    assert.equal(started._unsafeUnwrap().state, "running");
    let afterEvent = 0;
    let output: unknown;
    while (output === undefined) {
      const command = { token, afterEvent, waitMs: 1_000, barred: [] };
      const renewed = await host.renew(address, command, NEVER);
      const { changed, lastEvent } = renewed._unsafeUnwrap();
      afterEvent = lastEvent;
      output = changed[0]?.output;
    }
    assert.equal(output, "card");
    const released = await host.release(address, token, NEVER);
    assert.equal(released.isOk(), true);
  });
});

test("worker client: a stale token is refused with the lease", async () => {
  await withWorker(async (host, address) => {
    await acquire(host, address, "a/1", 0);
    const command = { holder: "b/1", expectedToken: 0, barred: [] };
    const late = await host.acquire(address, command, NEVER);
    const fault = late._unsafeUnwrapErr();
    assert.equal(fault.kind, "refused");
    assert.equal(fault.code, diagnostics.tokenStale.code);
    assert.equal(fault.step, "worker.acquire");
    assert.equal(fault.peer, "worker-1");
    assert.deepEqual(fault.data, { token: 1, holder: "a/1", lapsed: false });
  });
});

test("worker client: a lost answer is resolved by asking again", async () => {
  await withWorker(async (host, address, worker) => {
    const token = await acquire(host, address, "a/1", 0);
    worker.control({ loseAnswers: 1, losePath: "/v1/start" });
    const lost = await host.start(address, token, TASK, NEVER);
    assert.equal(lost._unsafeUnwrapErr().kind, "unknown");
    const again = await host.start(address, token, TASK, NEVER);
    assert.equal(again._unsafeUnwrap().task.id, TASK.id);
    assert.equal(worker.audit().runs.length, 1);
  });
});

test("worker client: yielding tells what became of the task", async () => {
  await withWorker(async (host, address) => {
    const token = await acquire(host, address, "a/1", 0);
    const task = { ...TASK, payload: { runMs: 600_000 } };
    await host.start(address, token, task, NEVER);
    const ways = ["throttle", "checkpoint", "stop"] as const;
    const states = [];
    for (const way of ways) {
      const record = await host.yieldTask(address, token, task.id, way, NEVER);
      states.push(record._unsafeUnwrap()?.state);
    }
    assert.deepEqual(states, ["running", "checkpointed", "stopped"]);
    const unseen = await host.yieldTask(address, token, "u/0", "stop", NEVER);
    assert.equal(unseen._unsafeUnwrap(), undefined);
  });
});

test("worker client: an answer of another shape is unknown", async () => {
  const server = await createScriptedServer((_request, response) => {
    response.end('{"token":"one"}');
  });
  const caller = createCaller();
  const host = createClient(caller);
  const address = { id: "worker-1", url: server.url, ...PLACE };
  const command = { holder: "a/1", expectedToken: 0, barred: [] };
  const answer = await host.acquire(address, command, NEVER);
  const fault = answer._unsafeUnwrapErr();
  await caller.close();
  await server.close();
  assert.equal(fault.kind, "unknown");
  assert.equal(fault.code, diagnostics.answerInvalid.code);
});

async function withWorker(body: Body): Promise<void> {
  const worker = createWorker({
    id: "worker-1",
    ...PLACE,
    capacity: {
      resources: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 },
      slots: 8,
      connections: 64,
    },
    leaseMs: PATIENCE_MS,
  });
  const url = await worker.listen(0);
  const caller = createCaller();
  try {
    const address = { id: "worker-1", url, ...PLACE };
    await body(createClient(caller), address, worker);
  } finally {
    await caller.close();
    await worker.close();
  }
}

function createCaller() {
  const connectTimeoutMs = PATIENCE_MS;
  return createHttpCaller({ connectionsPerOrigin: 2, connectTimeoutMs });
}

function createClient(caller: ReturnType<typeof createCaller>): WorkerHost {
  return createWorkerClient(caller, {
    commandTimeoutMs: PATIENCE_MS,
    renewMarginMs: PATIENCE_MS,
  });
}

async function acquire(
  host: WorkerHost,
  address: WorkerAddress,
  holder: string,
  expectedToken: number,
): Promise<number> {
  const command = { holder, expectedToken, barred: [] };
  const acquired = await host.acquire(address, command, NEVER);
  return acquired._unsafeUnwrap().token;
}
