import assert from "node:assert/strict";
import { test } from "node:test";
import { Client } from "undici";
import { createLog, type Log } from "../log/mod.ts";

const MANY_CALLS = 60;

test("json server: open connections go silent, new ones work", async () => {
  await withLog(async (log, url) => {
    const old = new Client(url);
    assert.equal(await statusOf(old), 200);
    log.control({ silent: true });
    const controller = new AbortController();
    const unanswered = statusOf(old, controller.signal);
    const fresh = new Client(url);
    assert.equal(await statusOf(fresh), 200);
    controller.abort();
    await assert.rejects(unanswered);
    assert.equal(log.audit().reads, 2);
    await old.destroy();
    await fresh.destroy();
  });
});

test("json server: an outage ends and control still works", async () => {
  await withLog(async (_log, url) => {
    const client = new Client(url);
    await control(client, { down: true });
    await assert.rejects(statusOf(client));
    await control(client, { down: false });
    assert.equal(await statusOf(client), 200);
    await client.destroy();
  });
});

test("json server: failures follow the seed", async () => {
  const drawn = async () => {
    const statuses: number[] = [];
    await withLog(async (log, url) => {
      log.control({ failRate: 0.5 });
      const client = new Client(url);
      for (let index = 0; index < MANY_CALLS; index += 1) {
        statuses.push(await statusOf(client));
      }
      await client.destroy();
    });
    return statuses;
  };
  const first = await drawn();
  assert.deepEqual([...new Set(first)].sort(), [200, 500]);
  assert.deepEqual(await drawn(), first);
});

test("json server: an unknown control changes nothing", async () => {
  await withLog(async (_log, url) => {
    const client = new Client(url);
    await assert.rejects(control(client, { dwon: true }));
    assert.equal(await statusOf(client), 200);
    await client.destroy();
  });
});

async function withLog(
  body: (log: Log, url: string) => Promise<void>,
): Promise<void> {
  const log = createLog({ seed: 7 });
  const url = await log.listen(0);
  try {
    await body(log, url);
  } finally {
    await log.close();
  }
}

async function statusOf(
  client: Client,
  signal?: AbortSignal,
): Promise<number> {
  const reply = await client.request({
    method: "GET",
    path: "/v1/read?from=0&waitMs=0",
    ...(signal === undefined ? {} : { signal }),
  });
  await reply.body.dump();
  return reply.statusCode;
}

async function control(client: Client, body: object): Promise<void> {
  const reply = await client.request({
    method: "POST",
    path: "/control",
    body: JSON.stringify(body),
  });
  await reply.body.dump();
}
