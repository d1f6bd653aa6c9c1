import assert from "node:assert/strict";
import { test } from "node:test";
import { end, starts, submit, twoWorkers } from "./fixture_test.ts";
import { type Placement, runningTasks, workerUsage } from "./mod.ts";

const RUNS = 8;

test("learning: work that takes more than it declares gets more room", () => {
  const placement = twoWorkers();
  run(placement, { cpuMillis: 2000, memoryMb: 100, accelerators: 0 });
  submit(placement, "b", 1, "batch");
  const used = workerUsage(placement, "w0").cpuMillis +
    workerUsage(placement, "w1").cpuMillis;
  assert.equal(used, 2000);
});

test("learning: work that takes less keeps what it declares", () => {
  const placement = twoWorkers();
  run(placement, { cpuMillis: 100, memoryMb: 10, accelerators: 0 });
  assert.equal(starts(submit(placement, "b", 20, "batch")).length, 8);
});

test("learning: no size is raised until few workers can hold it", () => {
  const placement = twoWorkers();
  run(placement, { cpuMillis: 40_000, memoryMb: 100, accelerators: 0 });
  assert.equal(starts(submit(placement, "b", 20, "batch")).length, 4);
});

function run(
  placement: Placement,
  peak: { cpuMillis: number; memoryMb: number; accelerators: number },
): void {
  for (let i = 0; i < RUNS; i++) {
    submit(placement, `a${i}`, 1, "batch");
    for (const worker of ["w0", "w1"]) {
      for (const task of runningTasks(placement, worker)) {
        end(placement, worker, task, "finished", 10, peak);
      }
    }
  }
}
