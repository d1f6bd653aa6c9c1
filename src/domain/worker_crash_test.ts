import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import { mayPrecedeCommit } from "./start_permit.ts";
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
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";
import type { UnansweredStarts } from "./worker_crash.ts";

const TASK = "deadly.0.0.0";
/** For how long the owner has seen its workers before, in seconds. */
const CALM_S = 180;
const WORKERS = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
/** The most starts of a task that crashes its workers: three, and two more. */
const MAX_STARTS = 5;

/** How the owner finds out that a worker has crashed. */
type CrashNotice =
  | "new id"
  | "same id"
  | "new id, after its lease"
  | "new id, after it left the list"
  | "same id, after it left the list";

/** Has every worker crash that starts the task; the worker is back at once. */
function playDeadlyTask(
  bench: DomainBench,
  notice: CrashNotice,
  onCrash = () => {},
): string[] {
  const crashed: string[] = [];
  let bornMs = 1;
  let seen = 0;
  for (let round = 0; round < 60; round += 1) {
    const starts = startsIn(bench.commands.slice(seen));
    seen = bench.commands.length;
    for (const { worker, task } of starts) {
      if (task !== TASK) continue;
      crashed.push(worker);
      bornMs += 1;
      onCrash();
      crash(bench, worker, notice, bornMs);
    }
    for (const command of bench.commands) {
      if (command.kind !== "order" || command.order.kind !== "stop") continue;
      feedEvent(bench, { ...command.order, kind: "stopConfirmed" });
    }
    tick(bench, 100);
    for (const [id, worker] of bench.domain.workers) {
      if (worker.isReachable) reportFrom(bench, id, { bornMs: worker.bornMs });
    }
  }
  return crashed;
}

function crash(
  bench: DomainBench,
  worker: string,
  notice: CrashNotice,
  bornMs: number,
): void {
  const unanswered = startsReaching(bench, worker);
  const lapse = { kind: "workerLapsed", worker, ...unanswered } as const;
  feedEvent(bench, { kind: "workerSilent", worker });
  bench.nowMs += 3_500;
  switch (notice) {
    case "same id":
      reportFrom(bench, worker, { bornMs, ...unanswered });
      return;
    case "new id, after its lease":
      feedEvent(bench, lapse);
      feedEvent(bench, { ...lapse, isReplaced: true });
      return;
    case "new id":
      feedEvent(bench, { ...lapse, isReplaced: true });
      return;
    case "new id, after it left the list":
      return returnToList(bench, worker, `${worker}+`, bornMs);
    case "same id, after it left the list":
      return returnToList(bench, worker, worker, bornMs);
  }
}

/** The starts that a worker had received when it crashed, as its link knows. */
function startsReaching(bench: DomainBench, worker: string): UnansweredStarts {
  const names = [...bench.domain.workers.get(worker)?.placed.keys() ?? []];
  return { unansweredStarts: names, reachedStarts: names };
}

/** Has a worker leave the list after its lease, and another one join it. */
function returnToList(
  bench: DomainBench,
  worker: string,
  id: string,
  bornMs: number,
): void {
  const listings = [...bench.domain.workers.values()].flatMap((known) =>
    known.listing ?? []
  );
  const crashed = listings.find((known) => known.id === worker);
  const others = listings.filter((known) => known.id !== worker);
  const unanswered = startsReaching(bench, worker);
  feedEvent(bench, { kind: "workerLapsed", worker, ...unanswered });
  feedEvent(bench, { kind: "workersListed", workers: others });
  bench.nowMs += 3_500;
  const returned = listing(id, { address: crashed?.address ?? "", bornMs });
  feedEvent(bench, { kind: "workersListed", workers: [...others, returned] });
  reportFrom(bench, id, { bornMs });
}

/** A bench whose workers have not crashed for some minutes. */
function createBenchWithWorkers(): DomainBench {
  const bench = createBench();
  const listings = WORKERS.map((id) => listing(id, { address: `${id}:1` }));
  listWorkers(bench, ...listings);
  for (let seconds = 0; seconds < CALM_S; seconds += 1) tick(bench, 1_000);
  return bench;
}

// Guards against BUDGET: a task is started on one worker after the other, each
// of which it crashes.
describe("a task that crashes each worker that starts it", () => {
  const expectedStarts: [CrashNotice, number][] = [
    ["new id", 2],
    ["same id", 2],
    // The third start leaves before the second crash is known.
    ["new id, after its lease", 3],
    ["new id, after it left the list", 3],
    ["same id, after it left the list", 3],
  ];
  for (const [notice, starts] of expectedStarts) {
    it(`fails its job after ${starts} starts (${notice})`, () => {
      const bench = createBenchWithWorkers();
      submit(bench, "deadly", [step()]);
      assert.equal(playDeadlyTask(bench, notice).length, starts);
      assert.equal(jobStateOf(bench.domain, "deadly"), "failed");
    });
  }

  it("fails its job too if its tasks are long-running", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step({ longRunning: true })]);
    assert.equal(playDeadlyTask(bench, "new id").length, 2);
    assert.equal(jobStateOf(bench.domain, "deadly"), "failed");
  });

  it("fails its job if it is the member of a gang", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step({ gang: true, taskCount: 3 })]);
    assert.ok(playDeadlyTask(bench, "new id").length <= MAX_STARTS);
    assert.equal(jobStateOf(bench.domain, "deadly"), "failed");
  });

  it("fails its job after three crashes if other tasks have just started", () => {
    const bench = createBenchWithWorkers();
    let jobs = 0;
    const submitOthers = () => {
      jobs += 1;
      submit(bench, `other${jobs}`, [step({ taskCount: 8 })]);
    };
    submitOthers();
    submit(bench, "deadly", [step()]);
    const crashed = playDeadlyTask(bench, "new id", submitOthers);
    assert.ok(crashed.length >= 2 && crashed.length <= 3, `${crashed}`);
    assert.equal(jobStateOf(bench.domain, "deadly"), "failed");
  });

  it("fails its job although each crash is followed by a takeover", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step()]);
    let crashes = 0;
    for (let round = 0; round < 10; round += 1) {
      const [start] = startsIn(bench.commands);
      bench.commands = [];
      if (start === undefined) break;
      crashes += 1;
      simulateTakeover(bench);
      const listings = WORKERS.map((id) => listing(id));
      feedEvent(bench, { kind: "workersListed", workers: listings });
      for (const worker of WORKERS) {
        if (worker === start.worker) {
          feedEvent(bench, { kind: "workerLapsed", worker, isReplaced: true });
        } else reportFrom(bench, worker, {});
      }
    }
    assert.ok(crashes <= 3, `${crashes}`);
    assert.equal(jobStateOf(bench.domain, "deadly"), "failed");
  });

  it("is started only after its record, once it has crashed a worker", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step()]);
    const [first] = startsIn(bench.commands);
    assert.equal(mayPrecedeCommit(bench.domain, first!), true);
    bench.commands = [];
    crash(bench, first!.worker, "new id", 2);
    const [second] = startsIn(bench.commands);
    assert.equal(mayPrecedeCommit(bench.domain, second!), false);
  });

  it("is not started again by the order that has crashed its worker", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step()]);
    const [start] = startsIn(bench.commands);
    crash(bench, start!.worker, "same id", 2);
    const stopped = stopsIn(bench.commands).map(({ task }) => task);
    assert.deepEqual([...new Set(stopped)], [TASK]);
  });
});

// Guards against LOST: a job is given up for crashes that others have caused.
describe("a task on a worker that crashes", () => {
  it("is no suspect if the worker has survived its start", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    for (let round = 0; round < 4; round += 1) {
      const [start] = startsIn(bench.commands.splice(0));
      const { task, attempt, worker } = start!;
      const { bornMs } = bench.domain.workers.get(worker)!;
      for (let poll = 0; poll < 4; poll += 1) {
        bench.nowMs += 500;
        const percent = poll + 1;
        const run = running(task, attempt, { percent });
        reportFrom(bench, worker, { bornMs, running: [run] });
      }
      crash(bench, worker, "same id", bornMs + 1);
      tick(bench, 100);
    }
    assert.equal(jobStateOf(bench.domain, "a"), "running");
    assert.equal(bench.domain.steps.get("a.0.0")?.crashCounts.size, 0);
  });

  // The start reaches nobody: the worker is down, but its silence not noticed.
  for (const isReplaced of [false, true]) {
    const notice = isReplaced ? "new id" : "same id";
    it(`is not given up if the workers may have been down before (${notice})`, () => {
      const bench = createBenchWithWorkers();
      submit(bench, "a", [step()]);
      for (let bornMs = 2; bornMs < 8; bornMs += 1) {
        const [start] = startsIn(bench.commands.splice(0));
        const { worker, task } = start!;
        const unanswered = { unansweredStarts: [task], reachedStarts: [] };
        bench.nowMs += 1_000;
        if (isReplaced) {
          const lapse = { kind: "workerLapsed", worker, isReplaced } as const;
          feedEvent(bench, { ...lapse, ...unanswered });
        } else {
          reportFrom(bench, worker, { bornMs, ...unanswered });
          const { attempt } = start!;
          feedEvent(bench, { kind: "stopConfirmed", worker, task, attempt });
          reportFrom(bench, worker, { bornMs, sentAtMs: bench.nowMs + 1 });
        }
        tick(bench, 100);
      }
      assert.equal(jobStateOf(bench.domain, "a"), "running");
    });
  }

  it("is sent to a worker that has just answered, after a doubtful crash", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    const [{ worker, task, isSuspect } = {} as never] = startsIn(
      bench.commands.splice(0),
    );
    assert.equal(isSuspect, false);
    feedEvent(bench, {
      kind: "workerLapsed",
      worker,
      isReplaced: true,
      unansweredStarts: [task],
      reachedStarts: [],
    });
    const [next] = startsIn(bench.commands);
    assert.equal(next?.isSuspect, true);
  });

  it("keeps its number of doubtful crashes in the record of its step", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    const { worker, task } = startsIn(bench.commands)[0]!;
    const unansweredStarts = [task];
    const lapse = { kind: "workerLapsed", worker, isReplaced: true } as const;
    feedEvent(bench, { ...lapse, unansweredStarts, reachedStarts: [] });
    simulateTakeover(bench);
    const run = bench.domain.steps.get("a.0.0");
    assert.deepEqual(run?.doubtfulCrashCounts, new Map([[0, 1]]));
  });

  it("is no suspect if the worker only lost its lease", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    for (let round = 0; round < 6; round += 1) {
      const [start] = startsIn(bench.commands.splice(0));
      const { worker } = start!;
      feedEvent(bench, { kind: "workerLapsed", worker, isReplaced: false });
      tick(bench, 100);
    }
    assert.equal(jobStateOf(bench.domain, "a"), "running");
  });

  it("is no suspect if its start had not left, and starts afterwards", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step({ taskCount: 2 * WORKERS.length })]);
    const starts = startsIn(bench.commands);
    const { worker, task } = starts[0]!;
    const placed = starts.filter((start) => start.worker === worker);
    assert.equal(placed.length, 2);
    const workers = WORKERS.map((id) =>
      listing(id, { address: `${id}:1`, bornMs: id === worker ? 2 : 1 })
    );
    feedEvent(bench, { kind: "workersListed", workers });
    bench.commands = [];
    feedEvent(bench, {
      kind: "looked",
      worker,
      look: {
        bornMs: 2,
        running: [],
        ended: [],
        sentAtMs: bench.nowMs,
        unansweredStarts: [task],
      },
    });
    assert.deepEqual(stopsIn(bench.commands).map((stop) => stop.task), [task]);
    const { crashCounts } = bench.domain.steps.get("a.0.0")!;
    assert.deepEqual([...crashCounts], [[0, 1]]);
  });

  it("is no suspect if its start had not left when the lease expired", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    const { worker } = startsIn(bench.commands)[0]!;
    for (const isReplaced of [false, true]) {
      const unansweredStarts: string[] = [];
      feedEvent(bench, {
        kind: "workerLapsed",
        worker,
        isReplaced,
        unansweredStarts,
      });
    }
    assert.deepEqual(bench.domain.steps.get("a.0.0")?.crashCounts, new Map());
  });

  for (const place of ["still on", "no longer on"]) {
    it(`is no suspect if the worker was drained, ${place} the list`, () => {
      const bench = createBenchWithWorkers();
      submit(bench, "a", [step()]);
      const [start] = startsIn(bench.commands.splice(0));
      const { worker } = start!;
      const listings = WORKERS.map((id) =>
        listing(id, { draining: id === worker })
      );
      feedEvent(bench, { kind: "workersListed", workers: listings });
      if (place === "no longer on") {
        const others = listings.filter(({ id }) => id !== worker);
        feedEvent(bench, { kind: "workersListed", workers: others });
      }
      feedEvent(bench, { kind: "workerLapsed", worker, isReplaced: true });
      assert.equal(bench.domain.steps.get("a.0.0")?.crashCounts.size, 0);
    });
  }

  it("may be innocent of a crash that only its record tells of", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    const [first] = startsIn(bench.commands.splice(0));
    // The run may have ended before, and the end may not have been stored.
    simulateTakeover(bench);
    const listings = WORKERS.map((id) => listing(id));
    feedEvent(bench, { kind: "workersListed", workers: listings });
    for (const worker of WORKERS) {
      reportFrom(bench, worker, { bornMs: worker === first!.worker ? 2 : 1 });
    }
    const states = [3, 4].map((bornMs) => {
      const [start] = startsIn(bench.commands.splice(0));
      if (start !== undefined) crash(bench, start.worker, "new id", bornMs);
      return jobStateOf(bench.domain, "a");
    });
    assert.deepEqual(states, ["running", "failed"]);
  });

  it("is started away from the other suspects, and others away from it", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ taskCount: 3 })]);
    const others = ["w2", "w3", "w4", "w5"];
    const listings = ["w1", ...others].map((id) => listing(id));
    feedEvent(bench, { kind: "workersListed", workers: listings });
    for (const worker of others) reportFrom(bench, worker, {});
    bench.commands = [];
    crash(bench, "w1", "new id", 2);
    const tried = startsIn(bench.commands).map(({ worker }) => worker);
    assert.equal(new Set(tried).size, 3);
    bench.commands = [];
    submit(bench, "b", [step({ taskCount: 4 })]);
    const [free] = others.filter((worker) => !tried.includes(worker));
    for (const { worker } of startsIn(bench.commands)) {
      assert.equal(worker, free);
    }
  });

  it("keeps its number of crashes in the record of its step", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "deadly", [step()]);
    const [start] = startsIn(bench.commands);
    crash(bench, start!.worker, "new id", 2);
    simulateTakeover(bench);
    const run = bench.domain.steps.get("deadly.0.0");
    assert.deepEqual(run?.crashCounts, new Map([[0, 1]]));
  });

  it("is restored from the record of an earlier version", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    const key = [...bench.store.keys()].find((name) => name.includes("a.0.0"));
    const record = JSON.parse(bench.store.get(key!)!);
    delete record.crashCounts;
    record.tasks = record.tasks.map((task: unknown[]) => task.slice(0, 5));
    bench.store.set(key!, JSON.stringify(record));
    simulateTakeover(bench);
    const [task] = bench.domain.steps.get("a.0.0")!.tasks;
    assert.equal(task?.kind === "placed" && task.bornMs, 0);
  });
});

describe("a worker that was cut off until its lease expired", () => {
  // Guards against jobs that fail for a crash long after the start of a task.
  for (const place of ["still on", "back on"]) {
    it(`has survived its last starts if it answers, ${place} the list`, () => {
      const bench = createBench();
      const listings = [listing("w1"), listing("w2")];
      listWorkers(bench, ...listings);
      const [start] = startsIn(submit(bench, "a", [step()]));
      const cutOff = start!.worker;
      feedEvent(bench, { kind: "workerLapsed", worker: cutOff });
      if (place === "back on") {
        const workers = listings.filter(({ id }) => id !== cutOff);
        feedEvent(bench, { kind: "workersListed", workers });
        feedEvent(bench, { kind: "workersListed", workers: listings });
      }
      reportFrom(bench, cutOff, {});
      reportFrom(bench, cutOff, { bornMs: 2 });
      const { crashCounts } = bench.domain.steps.get("a.0.0")!;
      assert.deepEqual(crashCounts, new Map());
    });
  }
});

// Guards against LOST: workers restart by themselves, and a job is given up for
// having been there twice.
describe("a task on workers that crash by themselves", () => {
  /** Has workers crash without a task for some minutes. */
  function crashWithoutTasks(bench: DomainBench, workers: string[]): void {
    for (let bornMs = 100; bornMs < 120; bornMs += 1) {
      for (const worker of workers) {
        tick(bench, 1_000);
        reportFrom(bench, worker, { bornMs });
      }
    }
    const listings = WORKERS.map((id) => {
      const { bornMs } = bench.domain.workers.get(id)!;
      return listing(id, { address: `${id}:1`, bornMs });
    });
    feedEvent(bench, { kind: "workersListed", workers: listings });
  }

  /** Crashes the worker that was told to start the task. */
  function crashUnder(bench: DomainBench, bornMs: number): void {
    const [start] = startsIn(bench.commands.splice(0));
    crash(bench, start!.worker, "new id", bornMs);
    tick(bench, 100);
  }

  it("is not given up after two crashes", () => {
    const bench = createBenchWithWorkers();
    crashWithoutTasks(bench, WORKERS);
    submit(bench, "a", [step()]);
    crashUnder(bench, 200);
    crashUnder(bench, 201);
    const run = bench.domain.steps.get("a.0.0");
    assert.deepEqual(run?.crashCounts, new Map([[0, 2]]));
    assert.equal(jobStateOf(bench.domain, "a"), "running");
  });

  it("is tried again on a worker that does not", () => {
    const bench = createBenchWithWorkers();
    const [calm, ...others] = WORKERS;
    crashWithoutTasks(bench, others);
    submit(bench, "a", [step()]);
    const [first] = startsIn(bench.commands);
    crashUnder(bench, 200);
    const [next] = startsIn(bench.commands);
    assert.ok(first!.worker === calm || next!.worker === calm);
  });

  it("is not given up for crashes of many workers at once", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    crashUnder(bench, 200);
    const { worker } = startsIn(bench.commands)[0]!;
    for (const other of bench.domain.workers.keys()) {
      if (other !== worker) reportFrom(bench, other, { bornMs: 300 });
    }
    const unanswered = startsReaching(bench, worker);
    const lapse = { kind: "workerLapsed", worker, isReplaced: true } as const;
    feedEvent(bench, { ...lapse, ...unanswered });
    const run = bench.domain.steps.get("a.0.0");
    assert.deepEqual(run?.crashCounts, new Map([[0, 2]]));
    assert.equal(jobStateOf(bench.domain, "a"), "running");
  });

  it("is no suspect any more once a worker has survived it", () => {
    const bench = createBenchWithWorkers();
    submit(bench, "a", [step()]);
    crashUnder(bench, 200);
    const [{ task, attempt, worker }] = startsIn(bench.commands) as [never];
    const { bornMs } = bench.domain.workers.get(worker)!;
    for (const percent of [1, 2, 3, 4]) {
      bench.nowMs += 500;
      const run = running(task, attempt, { percent });
      reportFrom(bench, worker, { bornMs, running: [run] });
    }
    const run = bench.domain.steps.get("a.0.0")!;
    assert.deepEqual([run.crashCounts.size, run.crashEvidence.size], [0, 0]);
    simulateTakeover(bench);
    assert.equal(bench.domain.steps.get("a.0.0")?.crashCounts.size, 0);
  });
});
