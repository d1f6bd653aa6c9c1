import assert from "node:assert/strict";
import { it } from "node:test";
import { createReachability } from "./reachability.ts";
import { createManualClock } from "./testing/manual_clock.ts";

it("an instance is unhealthy after calls have failed for a while, until one succeeds", async () => {
  const clock = createManualClock();
  const reachability = createReachability(clock);
  const { signal } = new AbortController();
  reachability.recordCall(false);
  assert.equal(reachability.isHealthy(), true);
  await clock.sleep(1_000, signal);
  reachability.recordCall(false);
  assert.equal(reachability.isHealthy(), false);
  reachability.recordCall(true);
  assert.equal(reachability.isHealthy(), true);
});
