import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyPlacement, end, join, starts, submit } from "./fixture_test.ts";
import { type Placement, runningTasks } from "./mod.ts";
import { agedUrgency } from "./rank.ts";

const LONG_MS = 24 * 60 * 60 * 1000;

test("ageing: the least urgent work starts while more urgent work comes", () => {
  const placement = emptyPlacement();
  join(placement, "w0");
  submit(placement, "a", 4, "batch", { urgency: 5 });
  submit(placement, "old", 1, "batch", { atMs: 1, urgency: 0 });
  let startedAtMs: number | undefined;
  for (let i = 1; i < 2_000 && startedAtMs === undefined; i++) {
    const atMs = 1_000 * i;
    submit(placement, `n${i}`, 1, "batch", { atMs, urgency: 5 });
    if (endOldest(placement, atMs).some((s) => s.startsWith("old"))) {
      startedAtMs = atMs;
    }
  }
  assert.notEqual(startedAtMs, undefined);
});

test("ageing: no age overtakes the most urgent work", () => {
  assert.ok(agedUrgency(0, LONG_MS) < agedUrgency(9, 0));
  assert.ok(agedUrgency(8, LONG_MS) < agedUrgency(9, 0));
});

function endOldest(placement: Placement, atMs: number): string[] {
  const [task] = runningTasks(placement, "w0");
  return starts(end(placement, "w0", task!, "finished", atMs));
}
