import assert from "node:assert/strict";
import { it } from "node:test";
import { currentInstant } from "./instant.ts";
import { remainingGrantMs } from "./owner_links.ts";
import type { OwnerState } from "./owner_state.ts";

const VALID_MS = 14_000;

it("an owner may not grant leases after its machine was suspended", () => {
  const time = { steadyMs: 1_000, wallMs: 90_000 };
  const clock = {
    steadyMs: () => time.steadyMs,
    nowMs: () => time.wallMs,
    sleep: () => Promise.resolve(),
  };
  const confirmedAt = currentInstant(clock);
  const state = {
    host: { clock, ownershipValidMs: VALID_MS, confirmedAt: () => confirmedAt },
    writer: { confirmedAt: () => confirmedAt },
  } as unknown as OwnerState;
  assert.equal(remainingGrantMs(state), VALID_MS);
  // The steady clock stops during a suspension.
  time.wallMs += VALID_MS;
  assert.ok(remainingGrantMs(state) <= 0);
});
