import assert from "node:assert/strict";
import { it } from "node:test";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { StoreHost } from "../hosts/mod.ts";
import { takeOver } from "./take_over.ts";

it("a takeover fails under an epoch that was already used for appends", async () => {
  // The store answers a reused sequence number with the result of the first
  // append and discards the records of the second.
  const store = {
    append: () =>
      Promise.resolve(err({
        kind: "sequence",
        step: "store.append",
        message: "409",
        expectedSequence: 3,
      })),
    newest: () => Promise.resolve(ok({ records: [], nextOffset: 0 })),
  } as unknown as StoreHost;
  const controller = new AbortController();
  const clock = createManualClock();
  const taken = await takeOver({
    store,
    clock: {
      ...clock,
      async sleep(delayMs, signal) {
        await clock.sleep(delayMs, signal);
        if (clock.steadyMs() > 1_000) controller.abort();
      },
    },
    logger: silentLogger,
    partition: { topic: "domains", number: 0 },
    epoch: 4,
    self: "10.0.0.1:1",
    options: { endedJobKeepMs: 1_000 },
    signal: controller.signal,
  });
  assert.equal(taken._unsafeUnwrapErr().kind, "sequence");
  assert.ok(!controller.signal.aborted);
});
