import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyPlacement, join, starts, submit } from "./fixture_test.ts";
import type { Preference } from "./mod.ts";

test("accelerators: other work goes to workers without them first", () => {
  const placement = emptyPlacement();
  join(placement, "gpu", { accelerators: 2 });
  join(placement, "plain");
  const placed = starts(submit(placement, "a", 1, "batch"));
  assert.deepEqual(placed, ["a/0 at plain"]);
});

test("accelerators: a slot stays beside each free one", () => {
  assert.equal(placedBeside("waiting", 1), 6);
});

test("accelerators: where packing weighs most, every slot is used", () => {
  assert.equal(placedBeside("cost", 1), 8);
});

test("accelerators: urgent work may use any slot", () => {
  assert.equal(placedBeside("waiting", 9), 8);
});

test("accelerators: other work stays away while work waits for them", () => {
  const placement = emptyPlacement();
  join(placement, "gpu", { accelerators: 1 });
  submit(placement, "a", 2, "batch", { accelerators: 1 });
  assert.deepEqual(starts(submit(placement, "b", 1, "batch")), []);
});

/** How many small tasks a worker of 8 slots and 2 free accelerators gets. */
function placedBeside(preference: Preference, urgency: number): number {
  const placement = emptyPlacement();
  placement.options.preference = preference;
  join(placement, "gpu", { accelerators: 2 });
  const unusual = { urgency, cpuMillis: 100 };
  return starts(submit(placement, "a", 20, "batch", unusual)).length;
}
