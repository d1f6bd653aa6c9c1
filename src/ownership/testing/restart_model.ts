/**
 * A randomized simulation of an owner whose workers restart under their ids and
 * are cut off, while calls that were meant for a former incarnation reach the
 * next one. Links, the domain and takeovers are the real ones; the network, the
 * workers and the time are simulated. All faults derive from a seed.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import {
  createBench,
  type DomainBench,
  feedEvent,
  listing,
  simulateTakeover,
  step,
  submit,
} from "../../domain/testing/domain_bench.ts";
import {
  createWorker,
  endDueRuns,
  readClock,
  type RunRecord,
  type Worker,
} from "../../../stand_ins/platform/worker.ts";
import { createRandomness } from "../../clients/mod.ts";
import type { DomainEvent, OwnerEntry } from "../../domain/mod.ts";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import type { Randomness } from "../../hosts/mod.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { awaitEarlierOwners } from "../earlier_owners.ts";
import { createIncarnations } from "../incarnations.ts";
import { currentInstant } from "../instant.ts";
import {
  CONFIRMED_LEASE_MS,
  maxLeaseDurationMs,
  MIN_CLOCK_RATE,
  UNWITNESSED_GRANT_MS,
  WITNESSED_LEASE_MS,
} from "../lease_time.ts";
import {
  acknowledgeEnds,
  expireUnlistedWorkers,
  reconcileLinks,
  reopenLinks,
  sendOrder,
} from "../owner_links.ts";
import type { OwnerState } from "../owner_state.ts";
import { createWorkerContact } from "../worker_contact.ts";
import {
  createSimulatedClock,
  type SimulatedClock,
} from "./simulated_clock.ts";
import { createSimulatedTasks } from "./simulated_tasks.ts";

const WORKERS = 3;
const STEP_MS = 20;
const RECOVERY_MS = 30_000;
const LEASE_MS = 5_500;
/** The longest time for which a worker keeps its runs without a new lease. */
const MAX_LEASE_MS = 10_000;
const OWNERSHIP_VALID_MS = 14_000;
const MAX_TASK_MS = 12_000;
const OPEN_JOBS = 8;
/** Number of a worker's largest clock reading at its start. */
const MAX_CLOCK_START_MS = 10_000_000;
const FINAL_STATES = new Set(["completed", "failed", "cancelled"]);

/** What the faults of a simulation consist of. */
export type RestartFaults = {
  /** The longest time from the return of a worker until it is cut off, in ms. */
  maxUncutMs: number;
  /** One in this many calls is carried out seconds later, without an answer. */
  lateCallOdds: number;
  /** Whether owners are lost, too. */
  hasTakeovers: boolean;
  /** How long a worker can be reached at least before it crashes, in ms. */
  minUptimeMs: number;
  /** One in this many steps of 20 ms opens the link to a worker again. */
  reopenedLinkOdds: number;
  /** For how long faults occur, in milliseconds. */
  durationMs: number;
};

/** A worker, and its connection to the instances. */
export type SimulatedWorker = {
  worker: Worker;
  isDown: boolean;
  isCut: boolean;
  /** When it last had no lease. */
  lapsedAtMs: number;
  /** When it next crashes, returns, is cut off or can be reached again. */
  nextChangeAtMs: number;
  /** What happens then. */
  nextChange: "crash" | "return" | "cut" | "heal";
  /** The born time that the list of workers shows. */
  listedBornMs: number;
  listedAtMs: number;
};

/** The state of a simulation. */
export type RestartModel = {
  random: Randomness;
  clock: SimulatedClock;
  faults: RestartFaults;
  workers: Map<string, SimulatedWorker>;
  bench: DomainBench;
  owner: { state: OwnerState; controller: AbortController } | undefined;
  epoch: number;
  nextJob: number;
  /** The completions of tasks that workers were told to forget. */
  acknowledgedRuns: Map<string, RunRecord>;
  /** Number of runs that were checked. */
  checkedRuns: number;
  /** Whether faults still occur. */
  isDisturbed: boolean;
};

/**
 * Runs a simulation: first with faults, then without them until every job should
 * have ended.
 *
 * @returns the rule that was broken; undefined if none was
 */
export async function findRestartFault(
  seed: number,
  faults: RestartFaults,
): Promise<string | undefined> {
  const model = createModel(seed, faults);
  startOwner(model, []);
  const endMs = faults.durationMs + RECOVERY_MS;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    model.isDisturbed = nowMs < faults.durationMs;
    changeWorkers(model);
    changeOwner(model);
    reopenSomeLink(model);
    submitJobs(model);
    await model.clock.advance(STEP_MS);
    model.bench.nowMs = model.clock.steadyMs();
    if (model.owner !== undefined) {
      expireUnlistedWorkers(model.owner.state);
      if (nowMs % 1_000 === 0) emitTo(model, { kind: "ticked" });
    }
    const fault = findDoubleRun(model);
    if (fault !== undefined) return finish(model, `${fault} at ${nowMs}`);
  }
  const open = [...model.bench.domain.jobs.values()]
    .filter(({ job }) => !FINAL_STATES.has(job.outcome))
    .map(({ job }) => job.id);
  const stuck = open.length === 0 ? undefined : `never ended: ${open}`;
  return finish(model, stuck);
}

function finish(model: RestartModel, fault: string | undefined) {
  model.owner?.controller.abort();
  return fault;
}

function createModel(seed: number, faults: RestartFaults): RestartModel {
  const random = createRandomness(seed);
  const clock = createSimulatedClock();
  const model: RestartModel = {
    random,
    clock,
    faults,
    workers: new Map(),
    bench: createBench(),
    owner: undefined,
    epoch: 1,
    nextJob: 1,
    acknowledgedRuns: new Map(),
    checkedRuns: 0,
    isDisturbed: true,
  };
  for (let index = 0; index < WORKERS; index += 1) {
    const id = `w${index}`;
    const worker = startIncarnation(model, id, []);
    model.workers.set(id, {
      worker,
      isDown: false,
      isCut: false,
      lapsedAtMs: 0,
      nextChangeAtMs: faults.minUptimeMs + random.integer(1_000, 6_000),
      nextChange: "crash",
      listedBornMs: worker.bornMs,
      listedAtMs: 0,
    });
  }
  return model;
}

/** Starts an incarnation of a worker, whose clock starts anew. */
function startIncarnation(
  { random, clock }: RestartModel,
  id: string,
  started: RunRecord[],
): Worker {
  const worker = createWorker(
    id,
    (_, task) => taskDurationMs(task),
    clock.steadyMs() + 1,
    () => false,
    {
      clockStartMs: random.integer(0, MAX_CLOCK_START_MS),
      clockRate: random.integer(0, 1) === 0 ? 1 : MIN_CLOCK_RATE,
      maxLeaseMs: MAX_LEASE_MS,
    },
  );
  worker.started = started;
  return worker;
}

/** The run time of a task: half of the tasks are short. */
function taskDurationMs(task: string): number {
  const [job = "", , , index = ""] = task.split(".");
  const number = Number(job.slice(1)) + Number(index);
  return number % 2 === 0
    ? 100 + (number * 37) % 700
    : 2_000 + (number * 977) % (MAX_TASK_MS - 2_000);
}

function changeWorkers(model: RestartModel): void {
  const nowMs = model.clock.steadyMs();
  for (const simulated of model.workers.values()) {
    const { worker } = simulated;
    endDueRuns(worker, nowMs);
    if (worker.leaseUntilMs < readClock(worker, nowMs)) {
      simulated.lapsedAtMs = nowMs;
    }
    if (nowMs >= simulated.listedAtMs) {
      simulated.listedBornMs = simulated.worker.bornMs;
    }
    if (nowMs >= simulated.nextChangeAtMs) changeWorker(model, simulated);
  }
}

function changeWorker(model: RestartModel, simulated: SimulatedWorker): void {
  const { random, clock, faults } = model;
  const nowMs = clock.steadyMs();
  const next = (
    change: SimulatedWorker["nextChange"],
    shortestMs: number,
    longestMs: number,
  ) => {
    simulated.nextChange = change;
    simulated.nextChangeAtMs = nowMs + random.integer(shortestMs, longestMs);
  };
  switch (simulated.nextChange) {
    case "crash":
      if (!model.isDisturbed) return;
      for (const { record } of simulated.worker.running.values()) {
        record.endedAtMs = nowMs;
        record.end = "gone";
      }
      simulated.worker.running.clear();
      simulated.isDown = true;
      return next("return", 100, 900);
    case "return": {
      const { id, started } = simulated.worker;
      simulated.worker = startIncarnation(model, id, started);
      simulated.isDown = false;
      simulated.listedAtMs = nowMs + random.integer(0, 800);
      const crashesAgain = random.integer(0, 3) === 0;
      return crashesAgain
        ? next("crash", 200, 1_500)
        : next("cut", 0, faults.maxUncutMs);
    }
    case "cut":
      if (!model.isDisturbed) return next("crash", 0, 0);
      simulated.isCut = true;
      return next("heal", 1_000, 12_000);
    case "heal":
      simulated.isCut = false;
      return next("crash", faults.minUptimeMs, faults.minUptimeMs + 4_500);
  }
}

/** Loses the owner at times, and has another one take over. */
function changeOwner(model: RestartModel): void {
  const { random, faults, isDisturbed } = model;
  if (!faults.hasTakeovers) return;
  if (model.owner === undefined) {
    if (random.integer(0, 30) > 0) return;
    const earlier = ownerEntry(model.epoch);
    simulateTakeover(model.bench);
    model.epoch += 1;
    startOwner(model, [earlier]);
  } else if (isDisturbed && random.integer(0, 300) === 0) {
    model.owner.controller.abort();
    model.owner = undefined;
  }
}

/** Opens a link again at times, as for a relay that was lost. */
function reopenSomeLink({ random, faults, owner, isDisturbed }: RestartModel) {
  if (owner === undefined || !isDisturbed) return;
  if (random.integer(1, faults.reopenedLinkOdds) > 1) return;
  reopenLinks(owner.state, [`w${random.integer(0, WORKERS - 1)}`]);
}

function ownerEntry(epoch: number): OwnerEntry {
  return {
    instance: `i${epoch}`,
    epoch,
    unwitnessedGrantMs: UNWITNESSED_GRANT_MS,
    leaseLimits: {
      witnessedMs: WITNESSED_LEASE_MS,
      confirmedMs: CONFIRMED_LEASE_MS,
    },
  };
}

function startOwner(model: RestartModel, earlier: OwnerEntry[]): void {
  const { clock, bench, workers } = model;
  const controller = new AbortController();
  const { signal } = controller;
  setMaxListeners(0, signal);
  const state = {
    host: {
      tasks: createSimulatedTasks(model),
      clock,
      logger: silentLogger,
      counters: createCounters(),
      signal,
      epoch: model.epoch,
      leaseMs: LEASE_MS,
      maxLeaseMs: MAX_LEASE_MS,
      ownershipValidMs: OWNERSHIP_VALID_MS,
      partition: { topic: "domains", number: 0 },
      confirmedAt: () => currentInstant(clock),
      hasStoppedGranting: () => Promise.resolve(true),
      servesDomain: () => true,
      workerList: {
        workers: () =>
          [...workers].map(([id, { listedBornMs }]) =>
            listing(id, { bornMs: listedBornMs, address: `10.0.0.1:${id}` })
          ),
        hasLeft: () => false,
      },
      onFenced(cause: string) {
        throw new Error(`fenced: ${cause}`);
      },
    },
    startedAtMs: clock.steadyMs(),
    writer: { confirmedAt: () => currentInstant(clock) },
    domain: bench.domain,
    links: new Map(),
    listedEnds: new Map(),
    contact: createWorkerContact(clock),
    incarnations: createIncarnations({
      clock,
      maxLeaseMs: MAX_LEASE_MS,
      hasEarlierOwners: earlier.length > 0,
      startPermits: bench.domain.startPermits,
    }),
    relayedLinks: { sendLeaseFloor() {} },
    restoredPermits: bench.domain.startPermits.size,
    earlierLeasesExpireAtMs: earlier.length === 0
      ? 0
      : clock.steadyMs() + maxLeaseDurationMs(CONFIRMED_LEASE_MS),
    events: { emit: (event: DomainEvent) => emitTo(model, event) },
  } as unknown as OwnerState;
  model.owner = { state, controller };
  if (earlier.length > 0) void awaitEarlierOwners(state, earlier);
  reconcileLinks(state);
  void followWorkerList(model, state);
}

/** Applies the list of workers from time to time. */
async function followWorkerList(
  { clock }: RestartModel,
  state: OwnerState,
): Promise<void> {
  const { signal } = state.host;
  while (!signal.aborted) {
    await clock.sleep(200, signal);
    if (!signal.aborted) reconcileLinks(state);
  }
}

/** Applies an event to the domain, stores the changes and sends the orders. */
function emitTo(model: RestartModel, event: DomainEvent): void {
  const { bench, owner } = model;
  if (owner === undefined) return;
  bench.nowMs = model.clock.steadyMs();
  for (const command of feedEvent(bench, event)) {
    if (command.kind === "order") sendOrder(owner.state, command.order);
    if (command.kind === "acknowledge") acknowledgeEnds(owner.state, command);
  }
}

function submitJobs(model: RestartModel): void {
  const { bench, random, owner, isDisturbed } = model;
  if (owner === undefined || !isDisturbed) return;
  const openJobs = [...bench.domain.jobs.values()].filter(({ job }) =>
    !FINAL_STATES.has(job.outcome)
  );
  if (openJobs.length >= OPEN_JOBS || random.integer(0, 4) > 0) return;
  const commands = submit(bench, `j${model.nextJob++}`, [
    step({ taskCount: random.integer(1, 2) }),
  ]);
  for (const command of commands) {
    if (command.kind === "order") sendOrder(owner.state, command.order);
  }
}

/**
 * Finds a task with two runs at the same time, or one that was started after a
 * completion that has been acknowledged.
 */
function findDoubleRun(model: RestartModel): string | undefined {
  const active = new Map<string, string>();
  model.checkedRuns = 0;
  for (const { worker } of model.workers.values()) {
    model.checkedRuns += worker.started.length;
    for (const { task, attempt, endedAtMs, startedAtMs } of worker.started) {
      if (endedAtMs !== undefined) continue;
      const run = `${task}#${attempt} on ${worker.id} from ${startedAtMs}`;
      const other = active.get(task);
      if (other !== undefined) return `runs twice: ${other}, ${run}`;
      active.set(task, run);
      const completion = model.acknowledgedRuns.get(task);
      const completedAtMs = completion?.endedAtMs ?? Infinity;
      if (startedAtMs > completedAtMs) return `runs again: ${run}`;
    }
  }
  return undefined;
}
