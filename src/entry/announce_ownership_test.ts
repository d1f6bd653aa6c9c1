import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { announceOwnership } from "./announce_ownership.ts";
import { createManualClock } from "./testing/manual_clock.ts";

/** Announces an owner; returns how often each instance was called. */
async function countCalls(
  answers: Record<string, boolean[]>,
  controller = new AbortController(),
): Promise<Record<string, number>> {
  const calls: Record<string, number> = {};
  await announceOwnership({
    clock: createManualClock(),
    announce(instance) {
      const call = calls[instance] ?? 0;
      calls[instance] = call + 1;
      return Promise.resolve(answers[instance]?.[call] ?? false);
    },
    signal: controller.signal,
  }, Object.keys(answers));
  return calls;
}

// Guards against a 503 from an instance that is stopping while others are stopped
// in turn: the announcement of the last owner was lost, and never repeated.
describe("the announcement of a new owner", () => {
  it("is repeated to an instance that does not acknowledge it", async () => {
    const answers = { a: [true], b: [false, true] };
    assert.deepEqual(await countCalls(answers), { a: 1, b: 2 });
  });

  it("is given up at an instance that never answers", async () => {
    assert.deepEqual(await countCalls({ a: [], b: [true] }), { a: 3, b: 1 });
  });

  it("is not sent any more once the instance ends", async () => {
    const controller = new AbortController();
    controller.abort();
    assert.deepEqual(await countCalls({ a: [] }, controller), {});
  });
});
