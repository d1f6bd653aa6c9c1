import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomness } from "../clients/mod.ts";
import { describeJob } from "./describe_job.ts";
import { findVerdict } from "./interference/mod.ts";
import {
  createBench,
  type DomainBench,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";
import { runLatencyFleet } from "./testing/latency_fleet.ts";

const GOAL_MS = 100;
const service = (image: string, cpuMillis = 1_000) =>
  step({
    image,
    longRunning: true,
    latencyGoalMs: GOAL_MS,
    demand: { cpuMillis, memoryMb: 100, accelerators: 0 },
  });
const filler = (image: string, cpuMillis = 1_000) =>
  step({
    image,
    opportunistic: true,
    demand: { cpuMillis, memoryMb: 100, accelerators: 0 },
  });

/** Creates a bench that knows that image a doubles the tail of v, and b not. */
function createTaughtBench(): DomainBench {
  const bench = createBench();
  runLatencyFleet(bench.domain.interference, {
    seed: 1,
    workers: 200,
    seconds: 60,
    sources: ["a", "b"],
    effectOf: (source) => source === "a" ? Math.LN2 : 0,
    noise: 0.2,
  });
  return bench;
}

/** Starts a step at the only listed worker that is not full, as a job. */
function startOn(
  bench: DomainBench,
  worker: string,
  job: string,
  changes: ReturnType<typeof step>,
): void {
  submit(bench, job, [{ ...changes, requiredLabel: worker }]);
  reportRunning(bench, worker, {});
}

/** Has a worker report all that was started there, with readings by job. */
function reportRunning(
  bench: DomainBench,
  worker: string,
  readings: Record<string, number>,
) {
  const started = startsIn(bench.commands)
    .filter((start) => start.worker === worker);
  return reportFrom(bench, worker, {
    running: started.map(({ task, attempt }) =>
      running(task, attempt, {
        percent: 100,
        reading: readings[task.split(".")[0]!] ?? 0,
      })
    ),
  });
}

const TWO_WORKERS = ["w1", "w2"].map((id) =>
  listing(id, { labels: ["k", id] })
);

function listTwo(bench: DomainBench): void {
  listWorkers(bench, ...TWO_WORKERS);
}

function workerOf(bench: DomainBench, job: string): string | undefined {
  return startsIn(bench.commands)
    .find(({ task }) => task.startsWith(`${job}.`))?.worker;
}

function countsIn(bench: DomainBench, name: string): string[] {
  return bench.commands.flatMap((command) =>
    command.kind === "count" && command.name === name
      ? [command.labels["outcome"] ?? ""]
      : []
  );
}

function pacesIn(commands: DomainBench["commands"]): Record<string, number> {
  return Object.fromEntries(
    commands.flatMap((command) =>
      command.kind === "order" && command.order.kind === "pace"
        ? [[command.order.task.split(".")[0]!, command.order.percent]]
        : []
    ),
  );
}

describe("a filler beside a service whose tail it doubles", () => {
  for (const isTaught of [false, true]) {
    const create = isTaught ? createTaughtBench : createBench;
    const expected = isTaught ? "w2" : "w1";
    it(`is placed on ${expected} if the pair is ${isTaught ? "" : "un"}known`, () => {
      const bench = create();
      listTwo(bench);
      startOn(bench, "w1", "v", service("v"));
      startOn(bench, "w2", "u", service("u", 4_000));
      submit(bench, "a", [filler("a")]);
      assert.equal(workerOf(bench, "a"), expected);
      const counts = countsIn(bench, "harmful_pair_placements");
      assert.deepEqual(counts, isTaught ? ["apart"] : []);
    });

    it(`does not draw the service there if the pair is ${isTaught ? "" : "un"}known`, () => {
      const bench = create();
      listTwo(bench);
      startOn(bench, "w1", "a", filler("a"));
      startOn(bench, "w2", "c", filler("c", 4_000));
      submit(bench, "v", [service("v")]);
      assert.equal(workerOf(bench, "v"), expected);
    });
  }

  // Guards against LOST: work that waits although there is room.
  it("is placed at once if there is no other room", () => {
    const bench = createTaughtBench();
    listTwo(bench);
    startOn(bench, "w1", "v", service("v"));
    submit(bench, "a", [{ ...filler("a"), requiredLabel: "w1" }]);
    assert.equal(workerOf(bench, "a"), "w1");
    assert.deepEqual(countsIn(bench, "harmful_pair_placements"), ["together"]);
  });
});

it("a filler that is known to be harmless is placed beside the service", () => {
  const bench = createTaughtBench();
  listTwo(bench);
  startOn(bench, "w1", "v", service("v"));
  startOn(bench, "w2", "x", step({ demand: service("x", 8_000).demand }));
  submit(bench, "b", [filler("b")]);
  assert.equal(workerOf(bench, "b"), "w1");
});

describe("a service near its goal", () => {
  function createNear(ratio: number) {
    const bench = createTaughtBench();
    listTwo(bench);
    for (const image of ["a", "b"]) startOn(bench, "w1", image, filler(image));
    startOn(bench, "w1", "v", service("v"));
    return pacesIn(reportRunning(bench, "w1", { v: ratio * GOAL_MS }));
  }

  it("has only the harmful image beside it slowed down early", () => {
    assert.deepEqual(createNear(0.6), {});
    assert.deepEqual(createNear(0.7), { a: 50 });
  });

  // Guards against HARM: the estimate may be wrong, the reading is not.
  it("has all opportunistic tasks slowed down at the threshold", () => {
    assert.deepEqual(createNear(0.8), { a: 50, b: 50 });
    assert.deepEqual(createNear(1), { a: 0, b: 0 });
  });
});

describe("a takeover", () => {
  // Guards against a filler that stays suspended, because the next owner takes
  // it for one at full speed, and against one that jumps to full speed.
  it("speeds up step by step what an earlier owner may have suspended", () => {
    const bench = createBench();
    listTwo(bench);
    startOn(bench, "w1", "v", service("v"));
    startOn(bench, "w1", "a", filler("a"));
    startOn(bench, "w1", "b", filler("b"));
    const report = (v: number) =>
      pacesIn(reportRunning(bench, "w1", { v, b: 950 }));
    assert.deepEqual(report(100), { a: 0, b: 0 });
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: TWO_WORKERS });
    assert.deepEqual(report(60), {}, "nothing is known");
    assert.deepEqual(report(40), { a: 60 }, "b uses what it asks for");
    assert.deepEqual(report(40), { a: 70 });
    assert.deepEqual(report(80), { a: 35, b: 50 });
  });

  it("begins with the placement of an owner without evidence", () => {
    const bench = createTaughtBench();
    simulateTakeover(bench);
    listTwo(bench);
    startOn(bench, "w1", "v", service("v"));
    startOn(bench, "w2", "u", service("u", 4_000));
    submit(bench, "a", [filler("a")]);
    assert.equal(workerOf(bench, "a"), "w1");
  });
});

// Guards against a verdict from readings that say nothing: 0 while a task
// starts up or its worker omits it, and values that no tail can have.
it("readings that are absent or huge teach nothing false", () => {
  const bench = createBench();
  listTwo(bench);
  startOn(bench, "w1", "v", service("v"));
  startOn(bench, "w1", "a", filler("a"));
  const { integer } = createRandomness(1);
  for (let count = 0; count < 200; count += 1) {
    bench.nowMs += 500;
    const odd = [0, 1e300, -5, Number.MAX_VALUE, 40, 40][integer(0, 5)]!;
    reportRunning(bench, "w1", { v: odd });
  }
  const { interference } = bench.domain;
  assert.notEqual(findVerdict(interference, "v", "a").kind, "harmful");
  for (const { means } of interference.models.values()) {
    assert.ok(means.every(Number.isFinite));
  }
});

it("learns from the reports of workers, and tells it", () => {
  const bench = createBench();
  const workers = Array.from({ length: 8 }, (_, index) => `w${index}`);
  listWorkers(
    bench,
    ...workers.map((id) => listing(id, { labels: ["k", id] })),
  );
  for (const id of workers) startOn(bench, id, `v${id}`, service("v"));
  for (let round = 0; round < 60; round += 1) {
    bench.nowMs += 600;
    const id = workers[round % workers.length]!;
    if (round < workers.length / 2) startOn(bench, id, `a${id}`, filler("a"));
    workers.forEach((worker, index) => {
      const isBeside = index < Math.min(round + 1, workers.length / 2);
      const factor = isBeside ? 2 : 1;
      const v = 20 * factor + (round * 7 + index * 3) % 5;
      reportRunning(bench, worker, { [`v${worker}`]: v });
    });
  }
  const moment = { steadyMs: bench.nowMs, wallMs: 0 };
  const [row] = describeJob(bench.domain, "aw1", moment)?.interference ?? [];
  assert.deepEqual([row?.victim, row?.source], ["v", "a"]);
  assert.equal(row?.verdict, "harmful");
  assert.ok(row.atLeast < 2 && 2 < row.atMost);
});
