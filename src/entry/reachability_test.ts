import assert from "node:assert/strict";
import { it } from "node:test";
import { createReachability } from "./reachability.ts";
import { createManualClock } from "./testing/manual_clock.ts";

it("an instance that is cut off is unfit after a while, until a call gets through", async () => {
  const clock = createManualClock();
  const reachability = createReachability(clock);
  const { signal } = new AbortController();
  reachability.note(false);
  assert.equal(reachability.isFit(), true);
  await clock.sleep(1_000, signal);
  reachability.note(false);
  assert.equal(reachability.isFit(), false);
  reachability.note(true);
  assert.equal(reachability.isFit(), true);
});
