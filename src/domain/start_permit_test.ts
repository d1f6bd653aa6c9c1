import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DomainCommand, WorkerOrder } from "./domain_command.ts";
import { describeJob } from "./describe_job.ts";
import { jobStateOf } from "./job_state.ts";
import { drainDirtyRecords, recordCommitted } from "./records.ts";
import { mayPrecedeCommit } from "./start_permit.ts";
import {
  cancel,
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  feedUncommitted,
  listing,
  listWorkers,
  policy,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };

/** Has a worker list ended runs while the store does not answer. */
function reportUncommitted(
  bench: DomainBench,
  worker: string,
  listed: Parameters<typeof reportFrom>[2],
): DomainCommand[] {
  bench.commitsAtOnce = false;
  const commands = reportFrom(bench, worker, listed);
  bench.commitsAtOnce = true;
  return commands;
}

function startsAheadOfCommit(
  bench: DomainBench,
  commands: DomainCommand[],
): WorkerOrder[] {
  return startsIn(commands).filter((order) =>
    mayPrecedeCommit(bench.domain, order)
  );
}

describe("the store is silent, accepted work goes on", () => {
  it("starts the next step of a job", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step(), step({ after: [0] })]);
    const commands = reportUncommitted(bench, "w1", {
      ended: [ended(1, "a.0.0.0", 1, "done")],
    });
    const [start] = startsAheadOfCommit(bench, commands);
    assert.equal(start?.task, "a.0.1.0");
  });

  it("starts a gang that waited for capacity", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "a", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "b", [
      step({ taskCount: 2, gang: true, demand: WHOLE_WORKER }),
    ]);
    const [first] = startsIn(bench.commands);
    const commands = reportUncommitted(bench, first!.worker, {
      ended: [ended(1, "a.0.0.0", 1, "done")],
    });
    assert.equal(startsAheadOfCommit(bench, commands).length, 2);
  });
});

describe("a start waits for its record", () => {
  it("if its job is not known to be stored", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const commands = feedUncommitted(bench, {
      kind: "submitted",
      call: 1,
      request: { id: "a", specification: "", steps: [step()] },
      policy: policy(),
    });
    assert.equal(startsIn(commands).length, 1);
    assert.equal(startsAheadOfCommit(bench, commands).length, 0);
  });

  it("if the permit for its worker is not known to be stored", () => {
    const bench = createBench();
    submit(bench, "a", [step()]);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const commands = reportUncommitted(bench, "w1", {});
    assert.equal(startsIn(commands).length, 1);
    assert.equal(startsAheadOfCommit(bench, commands).length, 0);
  });

  it("once the permit is being revoked", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    const [start] = startsIn(bench.commands);
    assert.equal(mayPrecedeCommit(bench.domain, start!), true);
    feedUncommitted(bench, { kind: "workerSilent", worker: "w1" });
    assert.equal(mayPrecedeCommit(bench.domain, start!), false);
  });

  it("if an earlier grant was stored, but a revocation is on its way", () => {
    const bench = createBench();
    const { domain } = bench;
    submit(bench, "a", [step()]);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const [start] = startsIn(reportUncommitted(bench, "w1", {}));
    const grant = drainDirtyRecords(domain);
    feedUncommitted(bench, { kind: "workerSilent", worker: "w1" });
    const revocation = drainDirtyRecords(domain);
    reportUncommitted(bench, "w1", { running: [running("a.0.0.0", 1)] });
    recordCommitted(domain, grant);
    assert.equal(mayPrecedeCommit(domain, start!), false);
    recordCommitted(domain, revocation);
    assert.equal(mayPrecedeCommit(domain, start!), false);
    recordCommitted(domain, drainDirtyRecords(domain));
    assert.equal(mayPrecedeCommit(domain, start!), true);
  });

  it("after a failure that is not known to be stored", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    const commands = reportUncommitted(bench, "w1", {
      ended: [ended(1, "a.0.0.0", 1, "failed")],
    });
    const [start] = startsIn(commands);
    assert.equal(start?.attempt, 2);
    assert.equal(mayPrecedeCommit(bench.domain, start!), false);
    tick(bench, 1);
    assert.equal(mayPrecedeCommit(bench.domain, start!), true);
  });

  it("if its task may run only once", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ atMostOnce: true })]);
    const [start] = startsIn(bench.commands);
    assert.equal(mayPrecedeCommit(bench.domain, start!), false);
  });
});

describe("a takeover after starts that were not recorded", () => {
  /** A bench whose owner is lost with a waiting job, and a start unrecorded. */
  function loseOwner(steps = [step({ demand: WHOLE_WORKER })]): DomainBench {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "blocker-1", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "blocker-2", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "a", steps);
    const [first] = startsIn(bench.commands);
    const commands = reportUncommitted(bench, first!.worker, {
      ended: [ended(1, first!.task, 1, "done")],
    });
    assert.equal(startsAheadOfCommit(bench, commands)[0]?.task, "a.0.0.0");
    simulateTakeover(bench);
    bench.commands.length = 0;
    return bench;
  }

  it("starts nothing while a worker may run it", () => {
    const bench = loseOwner();
    listWorkers(bench, listing("w3"));
    tick(bench, 100);
    assert.deepEqual(startsIn(bench.commands), []);
  });

  // Guards against TWICE: the run at a worker that has shrunk is overlooked.
  it("starts nothing while a worker whose capacity shrinks while it runs may run it", () => {
    const bench = loseOwner();
    const capacity = { cpuMillis: 500, memoryMb: 500, accelerators: 0 };
    const workers = [
      listing("w1", { capacity }),
      listing("w2", { capacity }),
      listing("w3"),
    ];
    feedEvent(bench, { kind: "workersListed", workers });
    reportFrom(bench, "w3", {});
    tick(bench, 100);
    assert.deepEqual(startsIn(bench.commands), []);
  });

  it("starts it once the leases of the workers have expired", () => {
    const bench = loseOwner();
    listWorkers(bench, listing("w3"));
    for (const worker of ["w1", "w2"]) {
      feedEvent(bench, { kind: "workerLapsed", worker });
    }
    tick(bench, 100);
    const tasks = startsIn(bench.commands).map(({ worker }) => worker);
    assert.deepEqual(tasks, ["w3"]);
  });

  it("does not hold up jobs that it accepts itself", () => {
    const bench = loseOwner();
    listWorkers(bench, listing("w3"));
    const [start] = startsIn(submit(bench, "b", [step()]));
    assert.equal(start?.worker, "w3");
  });

  it("adopts the run that a worker lists, and its allocation", () => {
    const bench = loseOwner();
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
    feedEvent(bench, { kind: "workerLapsed", worker: "w2" });
    tick(bench, 100);
    assert.deepEqual(startsIn(bench.commands), []);
    reportFrom(bench, "w1", { ended: [ended(2, "a.0.0.0", 1, "done")] });
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
  });

  it("takes a run of a step as proof that its predecessors are done", () => {
    const bench = loseOwner([
      step({ demand: WHOLE_WORKER }),
      step({ after: [0], demand: WHOLE_WORKER }),
    ]);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { running: [running("a.0.1.0", 1)] });
    feedEvent(bench, { kind: "workerLapsed", worker: "w2" });
    reportFrom(bench, "w1", { ended: [ended(3, "a.0.1.0", 1, "done")] });
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
    const started = startsIn(bench.commands).map(({ task }) => task);
    assert.equal(started.includes("a.0.0.0"), false);
  });

  it("stops an unrecorded run of a job that was cancelled", () => {
    const bench = loseOwner();
    feedEvent(bench, { kind: "cancelled", call: 9, job: "a" });
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const commands = reportFrom(bench, "w1", {
      running: [running("a.0.0.0", 1)],
    });
    assert.equal(stopsIn(commands)[0]?.task, "a.0.0.0");
    assert.deepEqual(
      startsIn(submit(bench, "b", [step({ demand: WHOLE_WORKER })])),
      [],
    );
  });
});

describe("a cancelled job that may have run unrecorded", () => {
  /** A bench after a takeover, with a cancelled job that had not started. */
  function cancelAfterTakeover(): DomainBench {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "blocker", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "a", [step({ demand: WHOLE_WORKER })]);
    simulateTakeover(bench);
    cancel(bench, "a");
    return bench;
  }

  const describeIt = (bench: DomainBench) =>
    describeJob(bench.domain, "a", { steadyMs: 0, wallMs: 0 })!;

  it("is not described as not run before its worker has reported", () => {
    const bench = cancelAfterTakeover();
    assert.equal(describeIt(bench).hasStarted, true);
    assert.equal(describeIt(bench).tasks[0]?.state, "starting");
  });

  it("is described as not run once its worker has reported", () => {
    const bench = cancelAfterTakeover();
    listWorkers(bench, listing("w1"));
    assert.equal(describeIt(bench).hasStarted, false);
  });

  it("is never described as not run if its worker has restarted", () => {
    const bench = cancelAfterTakeover();
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { bornMs: 2 });
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.equal(describeIt(bench).hasStarted, true);
  });
});

describe("a job whose id contains dots", () => {
  it("is restored with its steps", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "order.7.b", [step()]);
    reportFrom(bench, "w1", {
      ended: [ended(1, "order.7.b.0.0.0", 1, "failed")],
    });
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const task = running("order.7.b.0.0.0", 2);
    reportFrom(bench, "w1", { running: [task] });
    reportFrom(bench, "w1", { ended: [ended(2, task.task, 2, "done")] });
    assert.equal(jobStateOf(bench.domain, "order.7.b"), "completed");
  });
});

describe("the permits of workers while the store is silent", () => {
  // Guards against leases that end in an outage of the store, since workers that
  // missed one poll no longer show that their owner has no successor.
  it("stay in use if the workers miss a poll", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    feedUncommitted(bench, { kind: "storeObserved", isSilent: true });
    feedUncommitted(bench, { kind: "workerSilent", worker: "w1" });
    reportUncommitted(bench, "w1", {});
    assert.deepEqual(
      [...bench.domain.startPermits.values()].map(({ phase }) => phase),
      ["granted", "granted"],
    );
  });

  it("are granted and revoked once it answers again", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    feedUncommitted(bench, { kind: "storeObserved", isSilent: true });
    feedUncommitted(bench, { kind: "workerSilent", worker: "w1" });
    feedUncommitted(bench, {
      kind: "workersListed",
      workers: [listing("w1"), listing("w2")],
    });
    reportUncommitted(bench, "w2", {});
    assert.deepEqual([...bench.domain.startPermits.keys()], ["w1"]);
    feedEvent(bench, { kind: "storeObserved", isSilent: false });
    tick(bench, 10);
    reportFrom(bench, "w2", {});
    assert.deepEqual([...bench.domain.startPermits.keys()], ["w2"]);
  });

  // Guards against a task that runs twice: a worker that restarts after it has
  // answered a successor no longer refuses the orders of an owner that is cut
  // off from the store, and the successor does not look for its runs again.
  it("do not cover starts on a worker that has restarted", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "b", [step({ demand: WHOLE_WORKER })]);
    const [first] = startsIn(bench.commands);
    feedUncommitted(bench, { kind: "storeObserved", isSilent: true });
    const done = ended(1, first!.task, 1, "done");
    feedUncommitted(bench, {
      kind: "workersListed",
      workers: [listing("w1", { bornMs: 2 })],
    });
    const commands = reportUncommitted(bench, "w1", {
      bornMs: 2,
      ended: [done],
    });
    assert.equal(startsIn(commands).length, 1);
    assert.deepEqual(startsAheadOfCommit(bench, commands), []);
  });
});

// Guards against tasks that run twice: a new owner starts a task again that an
// earlier owner started at the former incarnation, of another kind.
describe("a worker with a permit that has started again as another kind", () => {
  it("may hold tasks of the kind that it was of", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { labels: ["a", "r1"] }));
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    const stored = [...bench.store].find(([key]) => key.includes("a.0.0"));
    bench.store.delete(stored![0]);
    simulateTakeover(bench);
    bench.commands = [];
    const workers = [
      listing("w1", { bornMs: 2, labels: ["b", "r1"] }),
      listing("w2", { labels: ["a", "r1"] }),
    ];
    feedEvent(bench, { kind: "workersListed", workers });
    reportFrom(bench, "w2", {});
    assert.deepEqual(startsIn(bench.commands), []);
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.equal(startsIn(bench.commands).length, 1);
  });

  it("holds none that the kind it was of never got", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1", { labels: ["a", "r1"] }));
    submit(bench, "a", [step({ requiredLabel: "b" })]);
    simulateTakeover(bench);
    bench.commands = [];
    const workers = [
      listing("w1", { labels: ["a", "r1"] }),
      listing("w2", { labels: ["b", "r1"] }),
    ];
    feedEvent(bench, { kind: "workersListed", workers });
    reportFrom(bench, "w2", {});
    assert.equal(startsIn(bench.commands).length, 1);
  });
});
