/**
 * A randomized simulation of a domain with changing owners, workers that are
 * partitioned or restart, and orders that are delayed, duplicated or lost. All
 * faults derive from a seed, so that a failing run can be repeated.
 *
 * @module
 */
import {
  COMMAND_PATHS,
  endDueRuns,
  handleCommand,
  heartbeatCommand,
} from "../../../stand_ins/platform/worker.ts";
import { isDeepStrictEqual } from "node:util";
import { createRandomness } from "../../clients/mod.ts";
import { addResources, NO_RESOURCES } from "../../model/mod.ts";
import { jobStateOf } from "../job_state.ts";
import { ownerRecord } from "../records.ts";
import type { EndedRun } from "../worker_report.ts";
import {
  cancel,
  createBench,
  type DomainBench,
  feedEvent,
  simulateTakeover,
  step,
  submit,
  tick,
} from "./domain_bench.ts";
import {
  deliverOrder,
  LEASE_MS,
  MAX_TIME_STEP_MS,
} from "./owner_model_orders.ts";
import {
  changeSomeCapacity,
  createCapacity,
  restoreCapacities,
  TASK_DEMAND,
} from "./owner_model_capacity.ts";
import {
  completeDueCommits,
  executeCommands,
  loseCommits,
} from "./owner_model_commits.ts";
import {
  checkAttempts,
  failSomeRuns,
  MAX_ATTEMPTS,
} from "./owner_model_failures.ts";
import {
  checkDeadlyTasks,
  createSimulatedWorker,
  drawDeadlyTask,
  noticeIncarnation,
  openLink,
  restartWorker,
  unansweredStartsOf,
} from "./owner_model_crashes.ts";
import { advanceGangs } from "./owner_model_gangs.ts";
import {
  drawKind,
  drawRequiredLabel,
  REQUIRED_KIND,
} from "./owner_model_kinds.ts";
import { entryOf, updateShownEntries } from "./owner_model_listing.ts";
import { toggleOrderAnswers } from "./owner_model_unanswered.ts";
import type { Model, SimulatedWorker } from "./owner_model_state.ts";

const WORKERS = 3;
/** Number of ends that a worker lists at a time. */
const MAX_LISTED_ENDS = 3;
const FINAL_STATES = new Set(["completed", "failed", "cancelled"]);
const FAULT_STEPS = 160;
const RECOVERY_STEPS = 400;
/**
 * The longest recovery: a start on a worker that ignores orders takes as long as
 * its lease.
 */
const MAX_RECOVERY_STEPS = 1_600;

/**
 * Runs the simulation with one seed: first with faults, then without them until
 * every job should have ended.
 *
 * @param environment whether workers that start again may be of another kind
 * @returns the violated invariants; those on starts that a worker has no room or
 *   no label for, and on the number of attempts, are listed apart
 */
export function runModel(
  seed: number,
  environment: { hasChangingKinds: boolean },
): {
  violations: string[];
  unsuitableStarts: string[];
  attemptCounts: string[];
} {
  const model = createModel(seed, environment);
  for (let index = 0; index < FAULT_STEPS; index += 1) stepWithFaults(model);
  for (const simulated of model.workers.values()) {
    simulated.isPartitioned = false;
  }
  restoreCapacities(model);
  // The others may go on to ignore orders.
  model.isRecovering = true;
  restoreKinds(model);
  pickWorker(model).ignoresOrders = false;
  const maxSteps = [...model.workers.values()].some((one) => one.ignoresOrders)
    ? MAX_RECOVERY_STEPS
    : RECOVERY_STEPS;
  for (let index = 0; index < maxSteps; index += 1) {
    if (index >= RECOVERY_STEPS && findOpenJobs(model).length === 0) break;
    stepWithoutFaults(model);
  }
  for (const job of findOpenJobs(model)) {
    const state = jobStateOf(model.bench.domain, job);
    model.violations.push(`job ${job} is ${state} at the end`);
  }
  const attemptCounts = [...checkAttempts(model), ...checkDeadlyTasks(model)];
  const { violations, unsuitableStarts } = model;
  return { violations, unsuitableStarts, attemptCounts };
}

/** Finds the accepted jobs that have not ended. */
function findOpenJobs(model: Model): string[] {
  return model.jobs.filter((job) => {
    const state = jobStateOf(model.bench.domain, job);
    if (state === undefined) {
      // Its owner may have been lost before the submission was answered, or it
      // ended long ago.
      return model.acceptedJobs.has(job) && !model.endedJobs.has(job);
    }
    if (!FINAL_STATES.has(state)) return true;
    model.endedJobs.add(job);
    return false;
  });
}

/** Checks that each worker's allocation is the sum over its placed tasks. */
function* checkAllocations({ bench }: Model): Generator<string> {
  for (const { id, used, placed } of bench.domain.workers.values()) {
    const allocated = [...placed.values()].reduce(
      (sum, ref) => addResources(sum, ref.allocated),
      NO_RESOURCES,
    );
    if (isDeepStrictEqual(used, allocated)) continue;
    yield `${id} has ${used.cpuMillis} millicores allocated to tasks of ` +
      `${allocated.cpuMillis}`;
  }
}

function createModel(
  seed: number,
  { hasChangingKinds }: { hasChangingKinds: boolean },
): Model {
  const bench = createBench();
  bench.commitsAtOnce = false;
  recordOwner(bench, 1);
  const model: Model = {
    bench,
    random: createRandomness(seed),
    hasChangingKinds,
    epoch: 1,
    isRecovering: false,
    workers: new Map(),
    orders: [],
    startExpiries: new Map(),
    jobs: [],
    acknowledgedDone: new Set(),
    firstSteps: new Map(),
    calls: new Map(),
    acceptedJobs: new Set(),
    endedJobs: new Set(),
    doneTasks: new Set(),
    failedRuns: new Map(),
    restarts: [],
    startedAttempts: new Map(),
    deadlyTasks: new Set(),
    deadlyStarts: new Map(),
    crashCounts: new Map(),
    commits: [],
    pendingCommands: [],
    execute: (commands) => executeCommands(model, commands),
    violations: [],
    unsuitableStarts: [],
  };
  for (let index = 0; index < WORKERS; index += 1) {
    const id = `w${index}`;
    const worker = createSimulatedWorker(model, id, 1);
    const kind = drawKind(model);
    const capacity = createCapacity();
    model.workers.set(id, {
      worker,
      isPartitioned: false,
      kind,
      capacity,
      listing: { shown: entryOf({ worker, kind, capacity }), written: [] },
      noticedBornMs: 0,
      ignoresOrders: false,
      crashedTasks: undefined,
      hasReported: false,
      unansweredStarts: new Set(),
      reachedStarts: new Set(),
      acknowledged: 0,
      leaseUntilMs: 0,
      endsBeforeExpiry: new Set(),
    });
  }
  listAllWorkers(model);
  return model;
}

/** Restarts the workers that may not run every task, as the last fault. */
function restoreKinds(model: Model): void {
  for (const simulated of model.workers.values()) {
    if (simulated.kind !== REQUIRED_KIND) restartWorker(model, simulated);
  }
}

function listAllWorkers(model: Model): void {
  const simulated = [...model.workers.values()];
  const workers = simulated.map(({ listing }) => listing.shown);
  for (const worker of simulated) {
    noticeBorn(worker, worker.listing.shown.bornMs);
  }
  model.execute(
    feedEvent(model.bench, { kind: "workersListed", workers }),
  );
}

/** Records that an owner is told of an incarnation of a worker. */
function noticeBorn(simulated: SimulatedWorker, bornMs: number): void {
  simulated.noticedBornMs = Math.max(simulated.noticedBornMs, bornMs);
}

function stepWithFaults(model: Model): void {
  const { random, bench } = model;
  advanceTime(model);
  changeSomeCapacity(model, pickWorker(model));
  switch (random.integer(0, 15)) {
    case 0:
    case 1:
      return submitRandomJob(model);
    case 2:
      return cancelRandomJob(model);
    case 3:
      return changeOwner(model);
    case 4:
      return togglePartition(model);
    case 5:
      return restartWorker(model, pickWorker(model));
    case 6:
      return replaceLink(model);
    case 7:
      return toggleOrderAnswers(pickWorker(model));
    default:
      model.execute(tick(bench, 0));
      for (const simulated of model.workers.values()) {
        if (random.integer(0, 2) > 0) pollWorker(model, simulated);
      }
  }
}

function stepWithoutFaults(model: Model): void {
  advanceTime(model);
  model.execute(tick(model.bench, 0));
  for (const simulated of model.workers.values()) pollWorker(model, simulated);
}

function advanceTime(model: Model): void {
  model.bench.nowMs += model.random.integer(1, MAX_TIME_STEP_MS);
  failSomeRuns(model);
  advanceGangs(model);
  const dueOrders = model.orders.filter(({ dueAtMs }) =>
    dueAtMs <= model.bench.nowMs
  );
  model.orders = model.orders.filter((pending) => !dueOrders.includes(pending));
  for (const pending of dueOrders) deliverOrder(model, pending);
  completeDueCommits(model);
  for (const simulated of model.workers.values()) {
    recordDoneTasks(model, simulated);
    recordEndsBeforeExpiry(model, simulated);
    expireLeaseIfDue(model, simulated);
  }
  if (updateShownEntries(model)) listAllWorkers(model);
  model.violations.push(...checkAllocations(model));
}

function submitRandomJob(model: Model): void {
  const id = `j${model.jobs.length}`;
  model.jobs.push(id);
  const first = step({
    taskCount: model.random.integer(1, 4),
    gang: model.random.integer(0, 3) === 0,
    demand: TASK_DEMAND,
    requiredLabel: drawRequiredLabel(model),
  });
  const steps = [first];
  if (model.random.integer(0, 1) === 0) {
    steps.push(step({ after: [0], demand: TASK_DEMAND }));
  }
  model.firstSteps.set(id, first);
  drawDeadlyTask(model, id);
  model.calls.set(model.bench.nextCall, id);
  model.execute(submit(model.bench, id, steps, { maxAttempts: MAX_ATTEMPTS }));
}

function cancelRandomJob(model: Model): void {
  if (model.jobs.length === 0) return;
  const index = model.random.integer(0, model.jobs.length - 1);
  model.execute(cancel(model.bench, model.jobs[index]!));
}

/** Replaces the owner; orders of the former one arrive late or are lost. */
function changeOwner(model: Model): void {
  model.epoch += 1;
  model.orders = model.orders.filter(() => model.random.integer(0, 1) === 0);
  for (const pending of model.orders) {
    pending.dueAtMs += model.random.integer(0, 4_000);
  }
  loseCommits(model);
  recordOwner(model.bench, model.epoch);
  simulateTakeover(model.bench);
  for (const simulated of model.workers.values()) {
    simulated.acknowledged = 0;
    openLink(simulated);
    // The former owner may have granted a lease just before it ended.
    simulated.leaseUntilMs = Math.max(
      simulated.leaseUntilMs,
      model.bench.nowMs + LEASE_MS,
    );
  }
  listAllWorkers(model);
}

function recordOwner(bench: DomainBench, epoch: number): void {
  const { key, value = "" } = ownerRecord({ instance: `i${epoch}`, epoch });
  bench.store.set(key, value);
}

function togglePartition(model: Model): void {
  const simulated = pickWorker(model);
  simulated.isPartitioned = !simulated.isPartitioned;
  if (!simulated.isPartitioned) return;
  model.execute(
    feedEvent(model.bench, {
      kind: "workerSilent",
      worker: simulated.worker.id,
    }),
  );
}

/** Replaces a worker's link: its orders arrive late or never, answers never. */
function replaceLink(model: Model): void {
  const { random, bench } = model;
  const simulated = pickWorker(model);
  const worker = simulated.worker.id;
  model.orders = model.orders.filter(({ order }) =>
    order.worker !== worker || random.integer(0, 1) === 0
  );
  for (const pending of model.orders) {
    if (pending.order.worker !== worker) continue;
    pending.isLinkLost = true;
    pending.dueAtMs += random.integer(0, 4_000);
  }
  openLink(simulated);
  // A relay may have granted a lease just before the owner replaced the link.
  simulated.leaseUntilMs = Math.max(
    simulated.leaseUntilMs,
    bench.nowMs + LEASE_MS,
  );
  model.execute(feedEvent(bench, { kind: "linkReopened", worker }));
}

function pickWorker(model: Model): SimulatedWorker {
  const index = model.random.integer(0, WORKERS - 1);
  return model.workers.get(`w${index}`)!;
}

function recordDoneTasks(model: Model, { worker }: SimulatedWorker): void {
  endDueRuns(worker, model.bench.nowMs);
  for (const [, task, , end] of worker.endedRuns) {
    if (end === "done") model.doneTasks.add(task);
  }
}

function recordEndsBeforeExpiry(
  model: Model,
  simulated: SimulatedWorker,
): void {
  if (simulated.worker.leaseUntilMs >= model.bench.nowMs) return;
  for (const [number] of simulated.worker.endedRuns) {
    simulated.endsBeforeExpiry.add(number);
  }
}

function expireLeaseIfDue(model: Model, simulated: SimulatedWorker): void {
  const { bench } = model;
  if (!simulated.isPartitioned || bench.nowMs <= simulated.leaseUntilMs) return;
  simulated.leaseUntilMs = Infinity;
  model.execute(
    feedEvent(bench, {
      kind: "workerLapsed",
      worker: simulated.worker.id,
      ...unansweredStartsOf(simulated),
    }),
  );
}

function pollWorker(model: Model, simulated: SimulatedWorker): void {
  if (simulated.isPartitioned) return;
  const { bench } = model;
  const { worker } = simulated;
  const leaseUntilMs = bench.nowMs + LEASE_MS;
  simulated.leaseUntilMs = leaseUntilMs;
  const answer = handleCommand(
    worker,
    COMMAND_PATHS.heartbeat,
    heartbeatCommand({
      epoch: model.epoch,
      leaseUntilMs,
      acknowledged: simulated.acknowledged,
    }),
    bench.nowMs,
  );
  if (answer.status !== 200) return;
  const unanswered = noticeIncarnation(model, simulated);
  noticeBorn(simulated, worker.bornMs);
  const running = [...worker.running].map(([task, { attempt }]) => ({
    task,
    attempt,
    checkpoint: "",
    percent: bench.nowMs % 100,
    reading: 0,
  }));
  const ended = worker.endedRuns.slice(0, MAX_LISTED_ENDS).map((
    [number, task, attempt, end, checkpoint],
  ): EndedRun => ({
    number,
    task,
    attempt,
    end: end as EndedRun["end"],
    checkpoint,
  }));
  model.execute(
    feedEvent(bench, {
      kind: "looked",
      worker: worker.id,
      look: {
        bornMs: worker.bornMs,
        running,
        ended,
        hasMoreEnds: ended.length === MAX_LISTED_ENDS,
        sentAtMs: bench.nowMs,
        ...unanswered,
      },
    }),
  );
}
