import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { takeAdviceRequest } from "./advice_requests.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 8 };
const ONE_ACCELERATOR = { cpuMillis: 1_000, memoryMb: 100, accelerators: 1 };
const ADVICE = { decideMs: 100, perWorkerMs: 2, validMs: 2_000 };

describe("a backlog after an outage", () => {
  it("does not delay work that can still meet its objective", () => {
    const bench = createBench();
    submit(bench, "late", [step({ demand: WHOLE_WORKER })], { priority: 1 });
    bench.nowMs += 4_000;
    submit(bench, "new", [step({ demand: WHOLE_WORKER })], { priority: 2 });
    listWorkers(bench, listing("w1"));
    const [start] = startsIn(bench.commands);
    assert.equal(start?.task, "new.0.0.0");
  });

  it("is scheduled last where results are no longer useful", () => {
    const bench = createBench();
    submit(bench, "old", [step({ demand: WHOLE_WORKER })], { priority: 0 });
    bench.nowMs += 60_000;
    submit(bench, "late", [step({ demand: WHOLE_WORKER })], { priority: 2 });
    bench.nowMs += 3_000;
    listWorkers(bench, listing("w1"), listing("w2"));
    const order = startsIn(bench.commands).map((start) => start.task);
    assert.deepEqual(order, ["late.0.0.0", "old.0.0.0"]);
  });

  it("does not demote a long-running service that is late", () => {
    const bench = createBench();
    const service = step({ demand: WHOLE_WORKER, longRunning: true });
    submit(bench, "service", [service], { priority: 1 });
    bench.nowMs += 60_000;
    submit(bench, "new", [step({ demand: WHOLE_WORKER })], { priority: 2 });
    listWorkers(bench, listing("w1"));
    const [start] = startsIn(bench.commands);
    assert.equal(start?.task, "service.0.0.0");
  });
});

describe("a stream of small accelerator tasks", () => {
  it("cannot starve a gang that needs whole workers", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    for (let index = 0; index < 16; index += 1) {
      submit(bench, `s${index}`, [step({ demand: ONE_ACCELERATOR })], {
        priority: 2,
      });
    }
    const gang = step({ demand: WHOLE_WORKER, gang: true, taskCount: 1 });
    submit(bench, "g", [gang], { priority: 1 });
    const [first] = startsIn(bench.commands);
    const worker = first!.worker;
    const onWorker = startsIn(bench.commands)
      .filter((start) => start.worker === worker);
    onWorker.forEach((start, index) => {
      submit(bench, `t${index}`, [step({ demand: ONE_ACCELERATOR })], {
        priority: 2,
      });
      reportFrom(bench, worker, {
        ended: [ended(index + 1, start.task, 1, "done")],
      });
    });
    const tasks = startsIn(bench.commands).map((start) => start.task);
    assert.ok(tasks.includes("g.0.0.0"));
  });
});

describe("a gang with tickets for some of its allowed workers", () => {
  it("starts on those, even if other workers are free", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"), listing("w3"));
    const gang = step({ demand: WHOLE_WORKER, gang: true, taskCount: 2 });
    submit(bench, "blocking", [step({ demand: WHOLE_WORKER, taskCount: 3 })]);
    submit(bench, "g", [gang], { priority: 1, advice: ADVICE });
    const advise = (...workers: string[]) =>
      feedEvent(bench, {
        kind: "advised",
        stepKey: "g.0.0",
        namedWorkers: workers,
        allowed: workers.map((worker): [string, string] => [worker, "t"]),
        validMs: 2_000,
      });
    advise("w1", "w2", "w3");
    bench.nowMs += 5_000;
    for (const { worker, task } of startsIn(bench.commands)) {
      reportFrom(bench, worker, { ended: [ended(1, task, 1, "done")] });
    }
    const started = startsIn(advise("w2", "w3")).map(({ worker }) => worker);
    assert.deepEqual(started.sort(), ["w2", "w3"]);
  });
});

/** Answers an advice request of a step. */
function advise(
  bench: DomainBench,
  stepKey: string,
  namedWorkers: string[],
  allowed: string[],
) {
  return feedEvent(bench, {
    kind: "advised",
    stepKey,
    namedWorkers,
    allowed: allowed.map((worker): [string, string] => [worker, "t"]),
    validMs: 2_000,
  });
}

function takeRequest(bench: DomainBench) {
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  return takeAdviceRequest(bench.domain, moment, Infinity);
}

describe("a gang that waits for a busy worker and a slow policy", () => {
  const slow = { decideMs: 800, perWorkerMs: 8, validMs: 2_000 };

  /** Creates a gang that may run only on a worker busy for 4.5 s. */
  function createWaitingGang() {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    const long = step({
      demand: WHOLE_WORKER,
      estimateMs: 4_500,
      taskCount: 2,
    });
    submit(bench, "blocking", [long], { priority: 1 });
    const gang = step({ demand: WHOLE_WORKER, gang: true, estimateMs: 4_500 });
    submit(bench, "g", [gang], { priority: 1, advice: slow });
    assert.equal(takeRequest(bench)?.stepKey, "g.0.0");
    advise(bench, "g.0.0", ["w1", "w2"], ["w1"]);
    const blocking = startsIn(bench.commands)
      .find(({ worker }) => worker === "w1")!;
    return { bench, blocking };
  }

  it("requests tickets shortly before the capacity is free", () => {
    const { bench, blocking } = createWaitingGang();
    bench.nowMs = 2_250;
    reportFrom(bench, "w1", {
      running: [running(blocking.task, 1, { percent: 50 })],
    });
    assert.equal(takeRequest(bench), undefined);
    bench.nowMs = 3_600;
    reportFrom(bench, "w1", {
      running: [running(blocking.task, 1, { percent: 80 })],
    });
    assert.deepEqual(takeRequest(bench)?.workers, ["w1"]);
  });

  it("starts with that ticket as soon as the capacity is free", () => {
    const { bench, blocking } = createWaitingGang();
    bench.nowMs = 3_600;
    reportFrom(bench, "w1", {
      running: [running(blocking.task, 1, { percent: 80 })],
    });
    takeRequest(bench);
    bench.nowMs = 4_400;
    advise(bench, "g.0.0", ["w1"], ["w1"]);
    bench.nowMs = 4_500;
    const commands = reportFrom(bench, "w1", {
      ended: [ended(1, blocking.task, 1, "done")],
    });
    assert.equal(startsIn(commands)[0]?.task, "g.0.0.0");
  });

  it("requests advice on others if the allowed workers are too few", () => {
    const bench = createBench();
    const workers = ["w1", "w2", "w3"].map((id) => listing(id));
    feedEvent(bench, { kind: "workersListed", workers });
    reportFrom(bench, "w1", {});
    const gang = step({ demand: WHOLE_WORKER, gang: true, taskCount: 2 });
    submit(bench, "g", [gang], { priority: 1, advice: slow });
    reportFrom(bench, "w2", {});
    reportFrom(bench, "w3", {});
    tick(bench, 0);
    // A new owner sends requests before all workers answered its first poll.
    advise(bench, "g.0.0", ["w1"], ["w1"]);
    assert.deepEqual(takeRequest(bench)?.workers.sort(), ["w1", "w2", "w3"]);
  });

  it("leaves the unreserved capacity of a worker to small tasks", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const half = { cpuMillis: 4_000, memoryMb: 100, accelerators: 4 };
    const long = step({ demand: half, estimateMs: 9_000 });
    submit(bench, "blocking", [long], { priority: 1 });
    const gang = step({ demand: half, gang: true, taskCount: 1 });
    submit(bench, "g", [gang], { priority: 1, advice: slow });
    takeRequest(bench);
    bench.nowMs = 5_000;
    advise(bench, "g.0.0", ["w1"], ["w1"]);
    bench.nowMs = 7_000;
    const small = { cpuMillis: 1_000, memoryMb: 100, accelerators: 1 };
    const commands = submit(bench, "s", [
      step({ demand: small, taskCount: 4, estimateMs: 60_000 }),
    ], { priority: 2 });
    // Four of eight accelerators are in use, and four are reserved.
    assert.equal(startsIn(commands).length, 0);
    reportFrom(bench, "w1", { ended: [ended(1, "blocking.0.0.0", 1, "done")] });
    const started = startsIn(bench.commands)
      .filter(({ task }) => task.startsWith("s."));
    assert.equal(started.length, 4);
  });
});

describe("tasks that take most of a worker", () => {
  const half = { cpuMillis: 1_000, memoryMb: 100, accelerators: 4 };

  it("are not starved by a stream of small tasks", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "a", [step({ demand: half, taskCount: 4 })], { priority: 2 });
    submit(bench, "large", [step({ demand: WHOLE_WORKER })], { priority: 1 });
    submit(bench, "b", [step({ demand: half, taskCount: 8 })], { priority: 2 });
    const starts = startsIn(bench.commands);
    bench.nowMs += 1_000;
    for (const [index, start] of starts.entries()) {
      reportFrom(bench, start.worker, {
        ended: [ended(index + 1, start.task, 1, "done")],
      });
    }
    const tasks = startsIn(bench.commands).map((start) => start.task);
    assert.ok(tasks.includes("large.0.0.0"));
  });

  // Guards against short tasks that wait beside room that is only reserved,
  // since a gang of one task has found none that is not.
  it("let tasks backfill although a small gang finds no unreserved room", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const half = { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 };
    const quarter = { ...half, cpuMillis: 2_000 };
    submit(bench, "long", [step({ demand: half, estimateMs: 10_000 })]);
    const whole = { ...half, cpuMillis: 8_000 };
    submit(bench, "first", [step({ gang: true, demand: whole })]);
    submit(bench, "second", [step({ gang: true, demand: quarter })]);
    const commands = submit(bench, "short", [step({ demand: quarter })]);
    assert.deepEqual(startsIn(commands).map(({ task }) => task), [
      "short.0.0.0",
    ]);
  });

  it("let tasks that end in time backfill their reserved worker", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    const long = step({ demand: half, taskCount: 3, estimateMs: 9_000 });
    submit(bench, "long", [long], { priority: 2 });
    submit(bench, "large", [step({ demand: WHOLE_WORKER })], { priority: 1 });
    const short = step({ demand: half, estimateMs: 500 });
    const [start] = startsIn(submit(bench, "short", [short], { priority: 2 }));
    assert.equal(start?.task, "short.0.0.0");
  });
});

describe("a worker that is the only one allowed for a step", () => {
  it("is avoided by steps that may run elsewhere", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    const advise = (stepKey: string, ...allowed: string[]) =>
      feedEvent(bench, {
        kind: "advised",
        stepKey,
        namedWorkers: ["w1", "w2"],
        allowed: allowed.map((worker): [string, string] => [worker, "t"]),
        validMs: 60_000,
      });
    submit(bench, "blocking", [step({ demand: WHOLE_WORKER })], {
      priority: 1,
    });
    submit(bench, "bound", [step({ demand: WHOLE_WORKER })], {
      priority: 2,
      advice: ADVICE,
    });
    const taken = startsIn(bench.commands)[0]!.worker;
    const other = taken === "w1" ? "w2" : "w1";
    advise("bound.0.0", taken);
    submit(bench, "free", [step({ demand: ONE_ACCELERATOR })], {
      priority: 0,
      advice: ADVICE,
    });
    reportFrom(bench, taken, {
      ended: [ended(1, "blocking.0.0.0", 1, "done")],
    });
    const starts = startsIn(advise("free.0.0", "w1", "w2"));
    const free = starts.find(({ task }) => task === "free.0.0.0");
    assert.equal(free?.worker, other);
  });
});

describe("advice requests", () => {
  it("are built for the most urgent step first", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "bulk", [step()], { priority: 2, advice: ADVICE });
    submit(bench, "urgent", [step()], { priority: 0, advice: ADVICE });
    const moment = { steadyMs: 0, wallMs: 0 };
    const request = takeAdviceRequest(bench.domain, moment, Infinity);
    assert.equal(request?.stepKey, "urgent.0.0");
  });

  it("skip a step whose request exceeds the cost limit", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const slow = { ...ADVICE, decideMs: 500 };
    submit(bench, "slow", [step()], { priority: 0, advice: slow });
    submit(bench, "fast", [step()], { priority: 2, advice: ADVICE });
    const moment = { steadyMs: 0, wallMs: 0 };
    const request = takeAdviceRequest(bench.domain, moment, 200);
    assert.equal(request?.stepKey, "fast.0.0");
  });

  it("renew the tickets of allowed workers without free capacity", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    const half = { cpuMillis: 4_000, memoryMb: 100, accelerators: 0 };
    submit(bench, "a", [step({ demand: half, taskCount: 12 })], {
      advice: ADVICE,
    });
    const takeRequest = () =>
      takeAdviceRequest(bench.domain, {
        steadyMs: bench.nowMs,
        wallMs: bench.nowMs,
      }, Infinity);
    const first = takeRequest();
    feedEvent(bench, {
      kind: "advised",
      stepKey: "a.0.0",
      namedWorkers: first!.workers,
      allowed: [["w1", "t1"], ["w2", "t2"]],
      validMs: 2_000,
    });
    tick(bench, 5_000);
    const [start] = startsIn(bench.commands);
    reportFrom(bench, start!.worker, {
      ended: [ended(1, start!.task, 1, "done")],
    });
    assert.deepEqual(takeRequest()?.workers.sort(), ["w1", "w2"]);
  });
});

describe("a worker with a task that makes no progress", () => {
  const listedAt = (percent: number) => ({
    running: [running("a.0.0.0", 1, { percent })],
  });

  it("loses the task, which restarts on another worker", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "a", [step()]);
    const [start] = startsIn(bench.commands);
    reportFrom(bench, start!.worker, listedAt(12));
    bench.nowMs += 3_500;
    const [stop] = stopsIn(reportFrom(bench, start!.worker, listedAt(12)));
    assert.equal(stop?.task, "a.0.0.0");
    reportFrom(bench, start!.worker, {
      ended: [ended(1, "a.0.0.0", 1, "stopped")],
    });
    const again = startsIn(bench.commands).at(-1);
    assert.notEqual(again?.worker, start!.worker);
  });

  it("keeps a task that is merely slow", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    for (let percent = 1; percent < 10; percent += 1) {
      bench.nowMs += 2_000;
      reportFrom(bench, "w1", listedAt(percent));
    }
    assert.equal(stopsIn(bench.commands).length, 0);
  });
});
