import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createRandomness } from "../../bench/random.ts";
import { fitsInto, type Policy, type Task } from "../model/mod.ts";
import { join, makeTasks } from "./fixture_test.ts";
import {
  createPlacement,
  type Placement,
  type PlacementCommand,
  type PlacementEvent,
  stepPlacement,
} from "./mod.ts";

const SEED = 20_261;
const SCHEDULES = 1_500;
const MAX_QUEUED = 12;

/** What may happen next; numbers choose among what there is. */
type Move =
  | { kind: "submit"; policy: Policy["kind"]; count: number; urgency: number }
  | { kind: "join" | "lose" | "leave" | "refuse" | "confirm"; pick: number }
  | {
    kind: "finish" | "fail" | "checkpoint" | "withdraw" | "repeat";
    pick: number;
  }
  | { kind: "tick"; forMs: number };

/** What the workers would know, kept apart from the core. */
type Truth = {
  placement: Placement;
  atMs: number;
  nextRequest: number;
  nextWorker: number;
  workers: Map<string, Map<string, { task: Task; confirmed: boolean }>>;
  /** Gangs whose start was asked for, by request. */
  gangs: Map<string, Set<string>>;
  /** Tasks that were ever refused. */
  refused: Set<string>;
};

test("invariants: they hold under any order of events", () => {
  fc.assert(
    fc.property(
      fc.array(moves(), { minLength: 5, maxLength: 60 }),
      (sequence) => {
        const truth = createTruth();
        for (const move of sequence) {
          make(truth, move);
          checkBooks(truth);
        }
      },
    ),
    { seed: SEED, numRuns: SCHEDULES },
  );
});

function moves(): fc.Arbitrary<Move> {
  const pick = fc.nat(50);
  const one = (kind: Exclude<Move["kind"], "submit" | "tick">) =>
    fc.record({ kind: fc.constant(kind), pick });
  return fc.oneof(
    {
      weight: 5,
      arbitrary: fc.record({
        kind: fc.constant("submit" as const),
        policy: fc.constantFrom("batch", "batch", "gang", "service" as const),
        count: fc.integer({ min: 1, max: 6 }),
        urgency: fc.constantFrom(1, 4, 8, 9),
      }),
    },
    { weight: 1, arbitrary: one("join") },
    { weight: 1, arbitrary: one("lose") },
    { weight: 1, arbitrary: one("leave") },
    { weight: 1, arbitrary: one("refuse") },
    { weight: 5, arbitrary: one("confirm") },
    { weight: 3, arbitrary: one("finish") },
    { weight: 1, arbitrary: one("fail") },
    { weight: 2, arbitrary: one("checkpoint") },
    { weight: 1, arbitrary: one("withdraw") },
    { weight: 2, arbitrary: one("repeat") },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant("tick" as const),
        forMs: fc.integer({ min: 1, max: 4_000 }),
      }),
    },
  );
}

function createTruth(): Truth {
  const placement = createPlacement({
    preference: "waiting",
    randomness: createRandomness(SEED),
    maxQueuedTasks: MAX_QUEUED,
  });
  const truth: Truth = {
    placement,
    atMs: 0,
    nextRequest: 0,
    nextWorker: 0,
    workers: new Map(),
    gangs: new Map(),
    refused: new Set(),
  };
  make(truth, { kind: "join", pick: 0 });
  make(truth, { kind: "join", pick: 1 });
  return truth;
}

function make(truth: Truth, move: Move): void {
  truth.atMs += 10;
  switch (move.kind) {
    case "submit":
      return submitGroup(truth, move);
    case "tick":
      truth.atMs += move.forMs;
      return tell(truth, { kind: "ticked" });
    case "join": {
      const id = `w${truth.nextWorker++}`;
      truth.workers.set(id, new Map());
      return carryOut(
        truth,
        join(truth.placement, id, { accelerators: move.pick % 2 }),
      );
    }
    case "lose":
      return withWorker(truth, move.pick, (worker) => {
        truth.workers.delete(worker);
        tell(truth, { kind: "workerLost", worker, loss: "lapsed" });
      });
    case "leave":
      return withWorker(
        truth,
        move.pick,
        (worker) => tell(truth, { kind: "workerLeaving", worker }),
      );
    case "refuse":
      return withTask(truth, move.pick, false, (worker, task) => {
        truth.workers.get(worker)!.delete(task.id);
        truth.gangs.get(task.requestId)?.delete(task.id);
        tell(truth, {
          kind: "startRefused",
          worker,
          taskId: task.id,
          refusal: "capacity",
        });
      });
    case "confirm":
      return withTask(truth, move.pick, false, (worker, task) => {
        truth.workers.get(worker)!.get(task.id)!.confirmed = true;
        tell(truth, { kind: "startConfirmed", worker, taskId: task.id });
      });
    case "finish":
      return endTask(truth, move.pick, "finished");
    case "fail":
      return endTask(truth, move.pick, "failed");
    case "checkpoint":
      return endTask(truth, move.pick, "checkpointed");
    case "repeat": {
      const entries = [...truth.placement.tasks.values()];
      const entry = entries[move.pick % (entries.length || 1)];
      if (entry !== undefined) tell(truth, submission(truth, [entry.task]));
      return;
    }
    case "withdraw": {
      const ids = [...truth.placement.tasks.keys()];
      const taskIds = ids.filter((_, i) => i % 3 === move.pick % 3);
      return tell(truth, { kind: "withdrawn", taskIds });
    }
  }
}

function submitGroup(
  truth: Truth,
  move: Extract<Move, { kind: "submit" }>,
): void {
  const id = `r${truth.nextRequest++}`;
  const tasks = makeTasks(id, move.count, move.policy, {
    urgency: move.urgency,
    accelerators: move.urgency === 4 ? 1 : 0,
    durationMs: move.urgency * 500,
  });
  tell(truth, submission(truth, tasks));
}

function submission(truth: Truth, tasks: Task[]): PlacementEvent {
  const { requestId: id, customer, agreement, work } = tasks[0]!;
  return {
    kind: "submitted",
    request: {
      id,
      customer,
      agreement,
      work,
      digest: id,
      durable: false,
      acceptedAtMs: truth.atMs,
      tasks,
    },
    tasks,
  };
}

function endTask(
  truth: Truth,
  pick: number,
  state: "finished" | "failed" | "checkpointed",
): void {
  withTask(truth, pick, true, (worker, task) => {
    truth.workers.get(worker)!.delete(task.id);
    const record = {
      task,
      state,
      startedAtMs: truth.atMs - 50,
      endedAtMs: truth.atMs,
    };
    tell(truth, { kind: "taskChanged", worker, record });
  });
}

function tell(truth: Truth, event: PlacementEvent): void {
  carryOut(truth, stepPlacement(truth.placement, event, truth.atMs));
}

/** Puts started tasks on their workers, and checks each start. */
function carryOut(truth: Truth, commands: PlacementCommand[]): void {
  const begun = new Set<string>();
  for (const command of commands) {
    if (command.kind === "refuse") truth.refused.add(command.taskId);
    if (command.kind !== "start") continue;
    const { worker, task } = command;
    for (const tasks of truth.workers.values()) {
      assert.ok(!tasks.has(task.id), `${task.id} placed twice`);
    }
    assert.ok(!truth.refused.has(task.id), `${task.id} started after refusal`);
    truth.workers.get(worker)!.set(task.id, { task, confirmed: false });
    if (task.policy.kind === "gang") begun.add(task.requestId);
    const gang = truth.gangs.get(task.requestId) ?? new Set();
    truth.gangs.set(task.requestId, gang.add(task.id));
  }
  for (const id of begun) checkGang(truth, id);
}

/** A gang that starts leaves none of its tasks waiting. */
function checkGang(truth: Truth, requestId: string): void {
  for (const entry of truth.placement.tasks.values()) {
    const isWaiting = entry.kind === "queued" &&
      entry.task.requestId === requestId;
    assert.ok(!isWaiting, `gang ${requestId} started in part`);
  }
}

/** The core's books against what the workers hold. */
function checkBooks({ placement, workers }: Truth): void {
  let queued = 0;
  for (const entry of placement.tasks.values()) {
    if (entry.kind === "queued") queued += 1;
  }
  assert.equal(placement.queued, queued);
  assert.ok(queued <= MAX_QUEUED, `${queued} queued`);
  assert.equal(
    placement.held,
    [...placement.workers.values()].filter(({ hold }) => hold).length,
  );
  for (const [id, tasks] of workers) {
    const state = placement.workers.get(id)!;
    assert.deepEqual([...state.placed.keys()].sort(), [...tasks.keys()].sort());
    const used = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { task: { demand } } of tasks.values()) {
      used.cpuMillis += demand.cpuMillis;
      used.memoryMb += demand.memoryMb;
      used.accelerators += demand.accelerators;
    }
    assert.ok(tasks.size <= state.capacity.slots, `${id}: slots`);
    assert.ok(fitsInto(used, state.capacity.resources), `${id}: capacity`);
  }
}

function withWorker(
  truth: Truth,
  pick: number,
  use: (worker: string) => void,
): void {
  const ids = [...truth.workers.keys()];
  const id = ids[pick % (ids.length || 1)];
  if (id !== undefined) use(id);
}

function withTask(
  truth: Truth,
  pick: number,
  confirmed: boolean,
  use: (worker: string, task: Task) => void,
): void {
  const found = [...truth.workers].flatMap(([worker, tasks]) =>
    [...tasks.values()]
      .filter((held) => held.confirmed === confirmed)
      .map(({ task }) => ({ worker, task }))
  );
  const chosen = found[pick % (found.length || 1)];
  if (chosen !== undefined) use(chosen.worker, chosen.task);
}
