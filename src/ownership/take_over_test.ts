import assert from "node:assert/strict";
import { it } from "node:test";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { StoreHost } from "../hosts/mod.ts";
import { takeOver } from "./take_over.ts";

it("an epoch under which was written before is not taken up again", async () => {
  // The store answers a repeat of a recent number as it did the first time,
  // and drops what the repeat carries.
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
