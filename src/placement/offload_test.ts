import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyPlacement, submit } from "./fixture_test.ts";
import { type Preference, stepPlacement } from "./mod.ts";

test("offload: at once, then each second", () => {
  assert.deepEqual(offersUntil("waiting", 1, 4_500), [0, 1, 2, 3, 4]);
});

test("offload: where control costs weigh most, seldom", () => {
  assert.deepEqual(offersUntil("cost", 1, 25_000), [2, 12, 22]);
});

test("offload: urgent work is offered at once with either setting", () => {
  assert.deepEqual(offersUntil("cost", 9, 2_500), [0, 1, 2]);
});

/** The seconds in which a request that finds no worker is offered to peers. */
function offersUntil(
  preference: Preference,
  urgency: number,
  untilMs: number,
): number[] {
  const placement = emptyPlacement();
  placement.options.preference = preference;
  const offers = submit(placement, "a", 2, "batch", { urgency }).map(() => 0);
  for (let atMs = 100; atMs <= untilMs; atMs += 100) {
    const commands = stepPlacement(placement, { kind: "ticked" }, atMs);
    offers.push(...commands.map(() => Math.floor(atMs / 1_000)));
  }
  return offers;
}
