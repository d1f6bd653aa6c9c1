import assert from "node:assert/strict";
import { it } from "node:test";
import { err, ok } from "neverthrow";
import { createManualClock } from "../entry/testing/manual_clock.ts";
import type { StoreHost } from "../hosts/mod.ts";
import { trackStore } from "./tracked_store.ts";
import { DISTANT_PAST } from "./instant.ts";

it("a tracked store records successful calls and ignores failed ones", async () => {
  const clock = createManualClock();
  const { signal } = new AbortController();
  const member = { group: "g", member: "m", topic: "t", ttlMs: 1_000 };
  const store = trackStore(
    {
      leave: () =>
        Promise.resolve(err({ kind: "unknown", step: "leave", message: "" })),
      owners: () => Promise.resolve(ok([])),
    } as unknown as StoreHost,
    clock,
  );
  await store.leave(member, signal);
  assert.deepEqual(store.lastSuccessAt(), DISTANT_PAST);
  await clock.sleep(70, signal);
  await store.owners("g", signal);
  assert.equal(store.lastSuccessAt().steadyMs, 70);
});
