import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomness, createSystemClock } from "./mod.ts";

test("system clock: sleep resolves immediately when its signal aborts", async () => {
  const clock = createSystemClock();
  const controller = new AbortController();
  const sleeping = clock.sleep(600_000, controller.signal);
  controller.abort();
  await sleeping;
  await clock.sleep(600_000, controller.signal);
});

test("system clock: the monotonic clock never goes backwards", () => {
  const clock = createSystemClock();
  const before = clock.steadyMs();
  assert.ok(clock.steadyMs() >= before);
});

test("randomness: the same seed produces the same integers within the bounds", () => {
  const draw = () => {
    const randomness = createRandomness(7);
    return Array.from({ length: 100 }, () => randomness.integer(3, 9));
  };
  assert.deepEqual(draw(), draw());
  assert.deepEqual([...new Set(draw())].sort(), [3, 4, 5, 6, 7, 8, 9]);
});
