import assert from "node:assert/strict";
import { test } from "node:test";
import {
  confirm,
  emptyPlacement,
  join,
  starts,
  submit,
} from "./fixture_test.ts";
import { runningTasks, stepPlacement } from "./mod.ts";

test("service: replicas spread over racks", () => {
  const placement = emptyPlacement();
  for (let i = 0; i < 5; i++) join(placement, `w${i}`);
  submit(placement, "s", 10, "service", { cpuMillis: 100 });
  for (let i = 0; i < 5; i++) {
    assert.equal(runningTasks(placement, `w${i}`).length, 2);
  }
});

test("service: a leaving worker's replicas get successors first", () => {
  const placement = emptyPlacement();
  for (const id of ["w0", "w1"]) join(placement, id);
  confirm(placement, submit(placement, "s", 4, "service"), 1);
  const event = { kind: "workerLeaving", worker: "w0" } as const;
  const replaced = stepPlacement(placement, event, 2);
  assert.deepEqual(
    replaced.map((c) => c.kind === "replace" ? c.worker : c.kind),
    ["w0", "w0"],
  );
  assert.equal(runningTasks(placement, "w0").length, 2);
  assert.deepEqual(stepPlacement(placement, event, 3), []);
  const next = starts(submit(placement, "t", 2, "batch", { atMs: 4 }));
  assert.deepEqual(next, ["t/0 at w1", "t/1 at w1"]);
});

test("service: one that must not run twice gets no successor", () => {
  const placement = emptyPlacement();
  join(placement, "w0");
  const once = submit(placement, "s", 1, "service", { idempotent: false });
  confirm(placement, once, 1);
  const event = { kind: "workerLeaving", worker: "w0" } as const;
  assert.deepEqual(stepPlacement(placement, event, 2), []);
});
