import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Pool } from "undici";
import { type Platform, startPlatform } from "./platform.ts";
import { restartWorker } from "./restart_worker.ts";
import { COMMAND_PATHS, startOrStopCommand } from "./worker.ts";

const CAPACITY = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };
const DOWN_MS = 100;

describe("a worker that restarts", () => {
  let platform: Platform | undefined;
  let pool: Pool | undefined;
  afterEach(async () => {
    platform?.close();
    await pool?.destroy();
  });

  async function start() {
    platform = await startPlatform({
      partitions: 1,
      workers: [{
        id: "w",
        service: "desk",
        zone: "a",
        rack: "r",
        capacity: CAPACITY,
      }],
      durationMs: () => 60_000,
      // The store keeps the address of the worker.
      resolveWorkerAddress(_worker, address) {
        pool = new Pool(`http://${address}`, { connections: 1 });
        return Promise.resolve(address);
      },
      configuration: { version: 1, routes: [] },
    });
    return { platform, workerProcess: platform.workerProcesses[0]! };
  }

  /** Sends a start; resolves to undefined if the connection is broken. */
  async function sendStart(task: string): Promise<number | undefined> {
    const leaseUntilMs = Date.now() + 60_000;
    const command = { task, attempt: 1, epoch: 1, leaseUntilMs };
    try {
      const { statusCode, body } = await pool!.request({
        path: COMMAND_PATHS.start,
        method: "POST",
        body: JSON.stringify(startOrStopCommand(command)),
      });
      await body.text();
      return statusCode;
    } catch {
      // The worker has broken the connection.
      return undefined;
    }
  }

  it("runs and knows nothing of before", async () => {
    const { platform, workerProcess } = await start();
    await sendStart("a");
    const [former] = platform.workers;
    await restartWorker(workerProcess, DOWN_MS);
    const [present] = platform.workers;
    assert.notEqual(present, former);
    assert.equal(present!.running.size, 0);
    assert.equal(present!.fence, 0);
    assert.deepEqual(present!.started.map(({ end }) => end), ["crashed"]);
  });

  it("carries out what arrived while it was down, without an answer", async () => {
    const { platform, workerProcess } = await start();
    const restarted = restartWorker(workerProcess, DOWN_MS);
    assert.equal(await sendStart("a"), undefined);
    await restarted;
    assert.deepEqual([...platform.workers[0]!.running.keys()], ["a"]);
  });

  it("answers no call over a connection from before", async () => {
    const { platform, workerProcess } = await start();
    assert.equal(await sendStart("a"), 200);
    await restartWorker(workerProcess, DOWN_MS);
    assert.equal(await sendStart("b"), undefined);
    assert.deepEqual([...platform.workers[0]!.running.keys()], ["b"]);
    assert.equal(await sendStart("c"), 200);
  });
});
