import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createRandomness, createSystemClock } from "../../clients/mod.ts";
import { createBatchReceiver } from "./batch_receiver.ts";
import { type Batch, createBatchSender } from "./batch_sender.ts";

const SEEDS = 8;
const MESSAGES = 60;
const KEEP_ALIVE_INTERVAL_MS = 60_000;

describe("batches between an owner and a relay", () => {
  it("arrive once and in order over a connection that drops and delays", async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = createRandomness(seed);
      const controller = new AbortController();
      const arrived: number[] = [];
      const receiver = createBatchReceiver<number>((message) =>
        arrived.push(message)
      );
      const clock = createSystemClock();
      const sender = createBatchSender<number>({
        // Shortens the retry delay to keep the test fast.
        clock: { ...clock, sleep: (_, signal) => clock.sleep(1, signal) },
        keepAliveIntervalMs: KEEP_ALIVE_INTERVAL_MS,
        async post(batch) {
          await delay(random.integer(0, 3));
          const outcome = random.integer(0, 3);
          if (outcome > 0) receiver.accept(batch);
          // The acknowledgement of a delivered batch may be lost as well.
          return outcome > 1 ? "taken" : "failed";
        },
        onClosed: () => assert.fail("closed"),
        signal: controller.signal,
      });
      const sent = Array.from({ length: MESSAGES }, (_, index) => index);
      for (const message of sent) {
        sender.send(message);
        if (random.integer(0, 4) === 0) await delay(1);
      }
      while (arrived.length < MESSAGES) await delay(1);
      controller.abort();
      assert.deepEqual(arrived, sent, `seed ${seed}`);
    }
  });

  it("queue messages while the maximum number of batches is in flight", async () => {
    const controller = new AbortController();
    const batches: Batch<number>[] = [];
    let answer = () => {};
    const sender = createBatchSender<number>({
      clock: createSystemClock(),
      keepAliveIntervalMs: KEEP_ALIVE_INTERVAL_MS,
      post(batch) {
        batches.push(batch);
        return new Promise((resolve) => {
          answer = () => resolve("taken");
        });
      },
      onClosed() {},
      signal: controller.signal,
    });
    sender.send(1);
    while (batches.length < 1) await delay(1);
    sender.send(2);
    sender.send(3);
    await delay(20);
    assert.equal(batches.length, 1);
    answer();
    while (batches.length < 2) await delay(1);
    controller.abort();
    assert.deepEqual(batches[1], { first: 2, messages: [2, 3] });
  });
});
