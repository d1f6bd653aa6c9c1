import assert from "node:assert/strict";
import { test } from "node:test";
import { createInstanceList } from "../../stand_ins/instance_list/mod.ts";
import { createLog, type Log } from "../../stand_ins/log/mod.ts";
import type { LogHost } from "../hosts/mod.ts";
import {
  createHttpCaller,
  createInstanceListClient,
  createLogClient,
} from "./mod.ts";

const NEVER = new AbortController().signal;
const PATIENCE_MS = 60_000;

test("log client: entries come back in order with offsets", async () => {
  await withLog(async (host) => {
    const first = await host.append(["a", "b"], NEVER);
    const second = await host.append([{ c: 1 }], NEVER);
    assert.deepEqual([first._unsafeUnwrap(), second._unsafeUnwrap()], [0, 2]);
    const page = (await host.read(1, 0, NEVER))._unsafeUnwrap();
    assert.deepEqual(page.entries.map((entry) => entry.data), ["b", { c: 1 }]);
    assert.deepEqual([page.firstOffset, page.nextOffset], [0, 3]);
  });
});

test("log client: a read waits for an append", async () => {
  await withLog(async (host) => {
    const waiting = host.read(0, PATIENCE_MS, NEVER);
    await host.append(["late"], NEVER);
    const page = (await waiting)._unsafeUnwrap();
    assert.deepEqual(page.entries.map((entry) => entry.data), ["late"]);
  });
});

test("log client: a lost answer may hide an append", async () => {
  await withLog(async (host, log) => {
    log.control({ loseAnswers: 1 });
    const lost = await host.append(["a"], NEVER);
    assert.equal(lost._unsafeUnwrapErr().kind, "unknown");
    const page = (await host.read(0, 0, NEVER))._unsafeUnwrap();
    assert.deepEqual(page.entries.map((entry) => entry.data), ["a"]);
  });
});

test("log client: an outage fails the call and changes nothing", async () => {
  await withLog(async (host, log) => {
    log.control({ down: true });
    assert.equal((await host.append(["a"], NEVER)).isErr(), true);
    log.control({ down: false });
    assert.equal((await host.append(["b"], NEVER))._unsafeUnwrap(), 0);
  });
});

test("log client: a trimmed log tells where it starts", async () => {
  await withLog(async (host, log) => {
    await host.append(["a", "b", "c"], NEVER);
    log.control({ trimTo: 2 });
    const page = (await host.read(0, 0, NEVER))._unsafeUnwrap();
    assert.equal(page.firstOffset, 2);
    assert.deepEqual(page.entries.map((entry) => entry.offset), [2]);
  });
});

test("instance list client: the list lags behind a change", async () => {
  const place = { zone: "kigali", region: "rwanda", url: "http://127.0.0.1:1" };
  const list = createInstanceList({
    instances: [{ id: "entry-1", ...place }],
    workers: [{ id: "worker-1", rack: "a", ...place }],
  });
  const caller = createCaller();
  const url = await list.listen(0);
  const host = createInstanceListClient(caller, {
    url,
    timeoutMs: PATIENCE_MS,
  });
  const isLeaving = async () => {
    const { instances } = (await host.read(NEVER))._unsafeUnwrap();
    return instances[0]?.leaving;
  };
  list.control({ listLagMs: PATIENCE_MS, leaving: "entry-1" });
  assert.equal(await isLeaving(), false);
  list.control({ listLagMs: 0 });
  assert.equal(await isLeaving(), true);
  const { workers } = (await host.read(NEVER))._unsafeUnwrap();
  assert.deepEqual(workers.map((worker) => worker.id), ["worker-1"]);
  await caller.close();
  await list.close();
});

async function withLog(
  body: (host: LogHost, log: Log) => Promise<void>,
): Promise<void> {
  const log = createLog({});
  const url = await log.listen(0);
  const caller = createCaller();
  const host = createLogClient(caller, {
    url,
    appendTimeoutMs: PATIENCE_MS,
    readMarginMs: PATIENCE_MS,
  });
  try {
    await body(host, log);
  } finally {
    await caller.close();
    await log.close();
  }
}

function createCaller() {
  const connectTimeoutMs = PATIENCE_MS;
  return createHttpCaller({ connectionsPerOrigin: 2, connectTimeoutMs });
}
