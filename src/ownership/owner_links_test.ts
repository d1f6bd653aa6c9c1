import assert from "node:assert/strict";
import { it } from "node:test";
import { instantOf } from "./instant.ts";
import { grantMs } from "./owner_links.ts";
import type { OwnerState } from "./owner_state.ts";

const TRUST_MS = 14_000;

it("an owner that was suspended may grant no lease", () => {
  const time = { steadyMs: 1_000, wallMs: 90_000 };
  const clock = {
    steadyMs: () => time.steadyMs,
    nowMs: () => time.wallMs,
    sleep: () => Promise.resolve(),
  };
  const confirmedAt = instantOf(clock);
  const state = {
    host: { clock, trustMs: TRUST_MS, confirmedAt: () => confirmedAt },
    writer: { confirmedAt: () => confirmedAt },
  } as unknown as OwnerState;
  assert.equal(grantMs(state), TRUST_MS);
  // A suspension stops the steady clock.
  time.wallMs += TRUST_MS;
  assert.ok(grantMs(state) <= 0);
});
