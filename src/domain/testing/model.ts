/**
 * A model of a domain over changing owners: workers that are cut off or start
 * anew, and orders that arrive late, twice or never. Every step is drawn from
 * a seed.
 *
 * @module
 */
import {
  COMMAND_PATHS,
  createWorker,
  handleCommand,
  heartbeatCommand,
} from "../../../stand_ins/platform/worker.ts";
import { createRandomness } from "../../clients/mod.ts";
import { jobStateOf } from "../job_state.ts";
import type { EndedRun } from "../worker_report.ts";
import {
  cancel,
  createBench,
  feed,
  listing,
  pass,
  step,
  submit,
  takeOverBench,
} from "./domain_bench.ts";
import {
  act,
  checkWorkers,
  deliver,
  LEASE_MS,
  MAX_STEP_MS,
} from "./model_orders.ts";
import type { Model, ModelWorker } from "./model_state.ts";

const WORKERS = 3;
const TASK_MS = 700;
const CHAOS_STEPS = 160;
const CALM_STEPS = 400;

/**
 * Runs the model with one seed: a time of chaos, then a calm one.
 *
 * @returns the broken promises
 */
export function runModel(seed: number): string[] {
  const model = createModel(seed);
  for (let index = 0; index < CHAOS_STEPS; index += 1) chaos(model);
  for (const held of model.workers.values()) held.isCut = false;
  for (let index = 0; index < CALM_STEPS; index += 1) calm(model);
  for (const job of model.jobs) {
    const state = jobStateOf(model.bench.domain, job);
    if (state === "completed" || state === "cancelled") continue;
    model.broken.push(`job ${job} is ${state} at the end`);
  }
  return model.broken;
}

function createModel(seed: number): Model {
  const bench = createBench();
  const workers = new Map<string, ModelWorker>();
  for (let index = 0; index < WORKERS; index += 1) {
    const id = `w${index}`;
    workers.set(id, {
      worker: createWorker(id, () => TASK_MS, 1),
      isCut: false,
      acknowledged: 0,
      leaseUntilMs: 0,
      lapsedEnds: new Set(),
    });
  }
  const model: Model = {
    bench,
    random: createRandomness(seed),
    epoch: 1,
    workers,
    orders: [],
    jobs: [],
    noted: new Set(),
    broken: [],
  };
  listAll(model);
  return model;
}

function listAll(model: Model): void {
  const workers = [...model.workers.values()].map(({ worker }) =>
    listing(worker.id, { bornMs: worker.bornMs })
  );
  act(model, feed(model.bench, { kind: "workersListed", workers }));
}

function chaos(model: Model): void {
  const { random, bench } = model;
  advance(model);
  switch (random.integer(0, 14)) {
    case 0:
    case 1:
      return addJob(model);
    case 2:
      return cancelJob(model);
    case 3:
      return changeOwner(model);
    case 4:
      return cutOrHeal(model);
    case 5:
      return startAnew(model);
    case 6:
      return loseLink(model);
    default:
      act(model, pass(bench, 0));
      for (const held of model.workers.values()) {
        if (random.integer(0, 2) > 0) look(model, held);
      }
  }
}

function calm(model: Model): void {
  advance(model);
  act(model, pass(model.bench, 0));
  for (const held of model.workers.values()) look(model, held);
}

function advance(model: Model): void {
  model.bench.nowMs += model.random.integer(1, MAX_STEP_MS);
  const due = model.orders.filter(({ dueAtMs }) =>
    dueAtMs <= model.bench.nowMs
  );
  model.orders = model.orders.filter((pending) => !due.includes(pending));
  for (const pending of due) deliver(model, pending);
  for (const held of model.workers.values()) {
    noteLapse(model, held);
    lapseIfDue(model, held);
  }
  checkWorkers(model);
}

function addJob(model: Model): void {
  const id = `j${model.jobs.length}`;
  model.jobs.push(id);
  const steps = [step({ taskCount: model.random.integer(1, 4) })];
  if (model.random.integer(0, 1) === 0) steps.push(step({ after: [0] }));
  act(model, submit(model.bench, id, steps, { maxAttempts: 50 }));
}

function cancelJob(model: Model): void {
  if (model.jobs.length === 0) return;
  const index = model.random.integer(0, model.jobs.length - 1);
  act(model, cancel(model.bench, model.jobs[index]!));
}

/** A new owner; orders of the former one may still arrive, or never do. */
function changeOwner(model: Model): void {
  model.epoch += 1;
  model.orders = model.orders.filter(() => model.random.integer(0, 1) === 0);
  for (const pending of model.orders) {
    pending.dueAtMs += model.random.integer(0, 4_000);
  }
  takeOverBench(model.bench);
  for (const held of model.workers.values()) {
    held.acknowledged = 0;
    // The former owner may have granted a lease just before it ended.
    held.leaseUntilMs = Math.max(
      held.leaseUntilMs,
      model.bench.nowMs + LEASE_MS,
    );
  }
  listAll(model);
}

function cutOrHeal(model: Model): void {
  const held = anyWorker(model);
  held.isCut = !held.isCut;
  if (!held.isCut) return;
  act(
    model,
    feed(model.bench, { kind: "workerSilent", worker: held.worker.id }),
  );
}

/** A relay is lost: its orders arrive late or never, its answers never. */
function loseLink(model: Model): void {
  const { random, bench } = model;
  const held = anyWorker(model);
  const worker = held.worker.id;
  model.orders = model.orders.filter(({ order }) =>
    order.worker !== worker || random.integer(0, 1) === 0
  );
  for (const pending of model.orders) {
    if (pending.order.worker !== worker) continue;
    pending.isOrphaned = true;
    pending.dueAtMs += random.integer(0, 4_000);
  }
  // The relay may have granted a lease just before the owner gave it up.
  held.leaseUntilMs = Math.max(held.leaseUntilMs, bench.nowMs + LEASE_MS);
  act(model, feed(bench, { kind: "linkReopened", worker }));
}

function startAnew(model: Model): void {
  const held = anyWorker(model);
  const { id, bornMs } = held.worker;
  held.worker = createWorker(id, () => TASK_MS, bornMs + 1);
  held.acknowledged = 0;
  held.lapsedEnds.clear();
}

function anyWorker(model: Model): ModelWorker {
  const index = model.random.integer(0, WORKERS - 1);
  return model.workers.get(`w${index}`)!;
}

function noteLapse(model: Model, held: ModelWorker): void {
  if (held.worker.leaseUntilMs >= model.bench.nowMs) return;
  for (const [number] of held.worker.endedRuns) held.lapsedEnds.add(number);
}

function lapseIfDue(model: Model, held: ModelWorker): void {
  const { bench } = model;
  if (!held.isCut || bench.nowMs <= held.leaseUntilMs) return;
  held.leaseUntilMs = Infinity;
  act(model, feed(bench, { kind: "workerLapsed", worker: held.worker.id }));
}

function look(model: Model, held: ModelWorker): void {
  if (held.isCut) return;
  const { bench } = model;
  const { worker } = held;
  const leaseUntilMs = bench.nowMs + LEASE_MS;
  held.leaseUntilMs = leaseUntilMs;
  const answer = handleCommand(
    worker,
    COMMAND_PATHS.heartbeat,
    heartbeatCommand({
      epoch: model.epoch,
      leaseUntilMs,
      acknowledged: held.acknowledged,
    }),
    bench.nowMs,
  );
  if (answer.status !== 200) return;
  const running = [...worker.running].map(([task, { attempt }]) => ({
    task,
    attempt,
    checkpoint: "",
    percent: bench.nowMs % 100,
    reading: 0,
  }));
  const ended = worker.endedRuns.map((
    [number, task, attempt, end, checkpoint],
  ): EndedRun => ({
    number,
    task,
    attempt,
    end: end as EndedRun["end"],
    checkpoint,
  }));
  act(
    model,
    feed(bench, {
      kind: "looked",
      worker: worker.id,
      look: { bornMs: worker.bornMs, running, ended, sentAtMs: bench.nowMs },
    }),
  );
}
