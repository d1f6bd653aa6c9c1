import assert from "node:assert/strict";
import { test } from "node:test";
import {
  confirm,
  emptyPlacement,
  end,
  join,
  starts,
  submit,
  twoWorkers,
} from "./fixture_test.ts";
import { type PlacementCommand, runningTasks, stepPlacement } from "./mod.ts";

test("preemption: urgent work gets the room of batch work", () => {
  const placement = twoWorkers();
  confirm(placement, submit(placement, "a", 8, "batch"), 1);
  const urgent = submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 });
  const [victim] = yields(urgent);
  assert.equal(victim?.yielding, "checkpoint");
  assert.deepEqual(submit(placement, "b", 1, "batch", { atMs: 11 }).length, 1);
  const task = runningTasks(placement, victim!.worker)
    .find(({ id }) => id === victim!.taskId)!;
  const freed = end(placement, victim!.worker, task, "checkpointed", 20);
  assert.deepEqual(starts(freed), [`u/0 at ${victim!.worker}`]);
});

test("preemption: checkpoint, then throttle, then stop", () => {
  const placement = twoWorkers();
  confirm(placement, submit(placement, "a", 8, "batch"), 1);
  submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 });
  const seen: string[] = [];
  for (let atMs = 100; atMs <= 1200; atMs += 100) {
    const commands = stepPlacement(placement, { kind: "ticked" }, atMs);
    seen.push(...yields(commands).map(({ yielding }) => yielding));
  }
  assert.deepEqual(seen, ["throttle", "stop"]);
});

test("preemption: work that must not run twice is never stopped", () => {
  const placement = twoWorkers();
  const once = submit(placement, "a", 8, "batch", { idempotent: false });
  confirm(placement, once, 1);
  const seen = yields(
    submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 }),
  );
  for (let atMs = 100; atMs <= 60_000; atMs += 100) {
    seen.push(...yields(stepPlacement(placement, { kind: "ticked" }, atMs)));
  }
  assert.ok(seen.length > 0);
  assert.ok(seen.every(({ yielding }) => yielding !== "stop"));
});

test("preemption: urgent work and services are left alone", () => {
  const placement = twoWorkers();
  confirm(placement, submit(placement, "s", 4, "service"), 1);
  confirm(placement, submit(placement, "a", 4, "batch", { urgency: 7 }), 1);
  const urgent = submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 });
  assert.deepEqual(yields(urgent), []);
});

test("preemption: a checkpointed task goes on at its own worker", () => {
  const placement = emptyPlacement();
  join(placement, "w0");
  confirm(placement, submit(placement, "a", 4, "batch"), 1);
  submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 });
  const task = runningTasks(placement, "w0").find(({ id }) => id === "a/3")!;
  const freed = end(placement, "w0", task, "checkpointed", 20);
  assert.deepEqual(starts(freed), ["u/0 at w0"]);
  join(placement, "w1");
  assert.deepEqual(starts(submit(placement, "a", 4, "batch")), []);
  const urgent = runningTasks(placement, "w0").find(({ id }) => id === "u/0")!;
  const ended = end(placement, "w0", urgent, "finished", 5_000);
  assert.deepEqual(starts(ended), ["a/3 at w0"]);
});

test("preemption: a withdrawn task does not go on", () => {
  const placement = emptyPlacement();
  join(placement, "w0");
  confirm(placement, submit(placement, "a", 4, "batch"), 1);
  submit(placement, "u", 1, "batch", { atMs: 10, urgency: 9 });
  const task = runningTasks(placement, "w0").find(({ id }) => id === "a/3")!;
  end(placement, "w0", task, "checkpointed", 20);
  const taskIds = ["a/3"];
  const gone = stepPlacement(placement, { kind: "withdrawn", taskIds }, 30);
  assert.equal(yields(gone)[0]?.yielding, "stop");
  const urgent = runningTasks(placement, "w0").find(({ id }) => id === "u/0")!;
  assert.deepEqual(
    starts(end(placement, "w0", urgent, "finished", 5_000)),
    [],
  );
});

function yields(commands: PlacementCommand[]) {
  return commands.flatMap((command) =>
    command.kind === "yield" ? [command] : []
  );
}
