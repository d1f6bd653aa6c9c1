import assert from "node:assert/strict";
import { it } from "node:test";
import {
  createBench,
  ended,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

const WORKERS = ["w1", "w2"];
const STALLED_MS = 7_500;
const QUARTER_WORKER = { cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0 };

// Guards against quarantines of all workers of a gang that one of them stalls,
// during which the gang could not restart although all of them were idle.
it("a stalled gang can restart on the workers that it ran on", () => {
  const bench = createBench();
  listWorkers(bench, ...WORKERS.map((id) => listing(id)));
  const gang = step({ taskCount: 8, gang: true, demand: QUARTER_WORKER });
  const starts = startsIn(submit(bench, "g", [gang]));
  const membersOn = (id: string) => starts.filter((s) => s.worker === id);
  for (const elapsedMs of [100, STALLED_MS]) {
    bench.nowMs += elapsedMs;
    for (const id of WORKERS) {
      const members = membersOn(id).map(({ task, attempt }) =>
        running(task, attempt, { percent: 20 })
      );
      reportFrom(bench, id, { running: members });
    }
  }
  const restarts = WORKERS.flatMap((id) => {
    const ends = membersOn(id).map(({ task, attempt }, index) =>
      ended(index + 1, task, attempt, "stopped")
    );
    return startsIn(reportFrom(bench, id, { ended: ends }));
  });
  assert.equal(restarts.length, gang.taskCount);
});
