import assert from "node:assert/strict";
import { test } from "node:test";
import { confirm, end, starts, submit, twoWorkers } from "./fixture_test.ts";
import { type Placement, runningTasks, stepPlacement } from "./mod.ts";

const HALF = { cpuMillis: 4000, memoryMb: 4000, accelerators: 0 };

test("shares: unused capacity is lent", () => {
  const placement = shared();
  const lent = submit(placement, "a", 8, "batch", { agreement: "left" });
  assert.equal(starts(lent).length, 8);
});

test("shares: the agreement below its share gets room first", () => {
  const placement = shared();
  submit(placement, "a", 12, "batch", { agreement: "left" });
  submit(placement, "b", 4, "batch", { agreement: "right", atMs: 1 });
  const [task] = runningTasks(placement, "w0");
  const next = end(placement, "w0", task!, "finished", 10);
  assert.deepEqual(starts(next), ["b/0 at w0"]);
});

test("shares: what is lent comes back by checkpoint, and no further", () => {
  const placement = shared();
  const lent = submit(placement, "a", 20, "batch", { agreement: "left" });
  confirm(placement, lent, 1);
  submit(placement, "b", 8, "batch", { agreement: "right", atMs: 10 });
  const owners = new Map<string, number>();
  for (let atMs = 1_000; atMs <= 60_000; atMs += 100) {
    const commands = stepPlacement(placement, { kind: "ticked" }, atMs);
    const given = commands.flatMap((command) => {
      if (command.kind !== "yield") return [];
      assert.equal(command.yielding, "checkpoint");
      const task = runningTasks(placement, command.worker)
        .find(({ id }) => id === command.taskId)!;
      return end(placement, command.worker, task, "checkpointed", atMs + 50);
    });
    confirm(placement, [...commands, ...given], atMs + 60);
  }
  for (const worker of ["w0", "w1"]) {
    for (const { agreement } of runningTasks(placement, worker)) {
      owners.set(agreement, (owners.get(agreement) ?? 0) + 1);
    }
  }
  assert.equal(owners.get("right"), 4);
  assert.equal(owners.get("left"), 4);
});

function shared(): Placement {
  const placement = twoWorkers();
  const shares = new Map([["left", HALF], ["right", HALF]]);
  stepPlacement(placement, { kind: "sharesCut", shares }, 0);
  return placement;
}
