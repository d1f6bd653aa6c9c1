/**
 * Owners of two domains that share the cap of one client account, on a store
 * that loses and delays calls. Owners are superseded and go on for a while,
 * orders are carried out late, records of starts are missing after a takeover,
 * and the cap changes.
 *
 * @module
 */
import { createAccountLimits } from "../../../domain/account_limits.ts";
import {
  applyDomainEvent,
  createDomain,
  type Domain,
} from "../../../domain/mod.ts";
import {
  createJobRun,
  createReadySteps,
  getOrCreateOccurrence,
} from "../../../domain/job_lifecycle.ts";
import type { StepRun } from "../../../domain/step_run.ts";
import { policy, step } from "../../../domain/testing/domain_bench.ts";
import { silentLogger } from "../../../entry/testing/manual_clock.ts";
import type { Clock, Randomness, StoreHost } from "../../../hosts/mod.ts";
import {
  addResources,
  fitsInto,
  multiplyResources,
  NO_RESOURCES,
  type Resources,
} from "../../../model/mod.ts";
import type { Counters } from "../../../telemetry/mod.ts";
import {
  type AllotmentKeeper,
  createAllotmentKeeper,
} from "../allotment_keeper.ts";
import { createAllotmentStore } from "./allotment_store.ts";

/** A part of the protocol that a run leaves out. */
export type Omission =
  | "the condition of writes"
  | "the epoch in the record"
  | "unrecorded starts"
  | "tasks that are being stopped"
  | "the allotments of other domains";

const ACCOUNT = "north";
const DOMAINS = 2;
const WORKERS_PER_DOMAIN = 2;
const ACTIONS = 130;
const MAX_QUIET_ROUNDS = 400;
/** An older configuration is not relied on, in milliseconds. */
const MAX_CONFIGURATION_AGE_MS = 900;
/** For how long a configuration may be in force after the next one, in ms. */
const APPLY_MS = MAX_CONFIGURATION_AGE_MS + 500;
const ATTEMPTED_FLUSHES = 8;

type Task = {
  id: string;
  demand: Resources;
  domain: number;
  epoch: number;
  worker: number;
  /** The configuration under which it was started. */
  version: number;
  state: "ordered" | "running" | "stopping" | "over";
};

type Work = { id: string; demand: Resources; count: number };

type Owner = {
  number: number;
  epoch: number;
  domain: Domain;
  keeper: AllotmentKeeper;
  waiting: Map<string, StepRun>;
  tasks: Set<Task>;
  version: number;
  controller: AbortController;
};

/** What the store has of a domain. */
type Stored = { epoch: number; waiting: Map<string, Work>; tasks: Set<Task> };

/**
 * Runs the model once.
 *
 * @returns what went wrong; undefined if nothing did
 *
 * @example
 * ```ts
 * const random = createRandomness(7);
 * const fault = await runAllotmentModel(random, { endsQuietly: true });
 * ```
 */
export async function runAllotmentModel(
  random: Randomness,
  options: {
    omission?: Omission | undefined;
    /** Whether all work has to start once nothing fails any more. */
    endsQuietly: boolean;
  },
): Promise<string | undefined> {
  const { omission, endsQuietly } = options;
  let nowMs = 0;
  let action = 0;
  let nextId = 1;
  let fault: string | undefined;
  const sleeps = new Set<{ untilMs: number; end: () => void }>();
  const clock: Clock = {
    nowMs: () => nowMs,
    steadyMs: () => nowMs,
    sleep: (delayMs) =>
      new Promise((resolve) => {
        const sleep = { untilMs: nowMs + delayMs, end: resolve };
        sleeps.add(sleep);
      }),
  };
  const store = createAllotmentStore(
    clock,
    omission !== "the condition of writes",
  );
  const caps = [randomCap()];
  const publishedAt = [0];
  const stored: Stored[] = Array.from({ length: DOMAINS }, () => ({
    epoch: 0,
    waiting: new Map(),
    tasks: new Set(),
  }));
  const owners = new Set<Owner>();
  const workerEpochs = Array.from(
    { length: DOMAINS * WORKERS_PER_DOMAIN },
    () => 0,
  );
  const orders = new Set<Task>();
  const running = new Set<Task>();

  function randomCap(): Resources {
    return {
      cpuMillis: random.integer(5, 12),
      memoryMb: 0,
      accelerators: random.integer(0, 2) * 4,
    };
  }

  const pick = <Item>(items: Iterable<Item>): Item | undefined => {
    const list = [...items];
    return list[random.integer(0, Math.max(0, list.length - 1))];
  };
  const workersOf = (number: number) =>
    Array.from(
      { length: WORKERS_PER_DOMAIN },
      (_, index) => number * WORKERS_PER_DOMAIN + index,
    );
  const currentOwner = (number: number) =>
    [...owners].find((owner) =>
      owner.number === number && owner.epoch === stored[number]!.epoch
    );
  const configurationAgeMs = ({ version }: Owner) =>
    nowMs - (publishedAt[version + 1] ?? nowMs);

  /** The store of an owner, from which a part of the protocol is left out. */
  function hostFor(number: number, epoch: number): StoreHost {
    const change = ({ records, nextOffset }: {
      records: { key: string; value: string | undefined }[];
      nextOffset: number;
    }) => ({
      nextOffset,
      records: records.flatMap((record) => {
        const isOwn = record.key === `${number}`;
        if (!isOwn) {
          return omission === "the allotments of other domains" ? [] : record;
        }
        if (omission !== "the epoch in the record") return record;
        const value = { ...JSON.parse(record.value ?? "{}"), epoch };
        return { key: record.key, value: JSON.stringify(value) };
      }),
    });
    return {
      ...store.host,
      newest: async (...call) => (await store.host.newest(...call)).map(change),
      read: async (...call) => (await store.host.read(...call)).map(change),
    };
  }

  function addWork(owner: Owner, work: Work, isRestored: boolean): void {
    const isGang = work.count > 1;
    const run = createJobRun({
      id: work.id,
      specification: "",
      steps: [
        step({ demand: work.demand, taskCount: work.count, gang: isGang }),
      ],
      policy: policy({ clientAccount: ACCOUNT }),
      acceptedAtMs: 0,
      outcome: "open",
    });
    run.isRestored = isRestored;
    const moment = { steadyMs: nowMs, wallMs: nowMs };
    const occurrence = getOrCreateOccurrence(run, 0);
    createReadySteps(owner.domain, run, occurrence, [0], moment);
    owner.domain.jobs.set(work.id, run);
    owner.waiting.set(work.id, occurrence.steps.get(0)!);
  }

  function updateAllocated(owner: Owner): void {
    let sum = NO_RESOURCES;
    for (const { demand, state } of owner.tasks) {
      const isLeftOut = state === "stopping" &&
        omission === "tasks that are being stopped";
      if (!isLeftOut) sum = addResources(sum, demand);
    }
    owner.domain.allocatedByAccount.set(ACCOUNT, sum);
  }

  function takeOver(number: number): void {
    const known = stored[number]!;
    known.epoch += 1;
    const domain = createDomain({ endedJobKeepMs: 1_000 });
    const controller = new AbortController();
    const { epoch } = known;
    const keeper = createAllotmentKeeper({
      store: hostFor(number, epoch),
      clock,
      logger: silentLogger,
      counters: NO_COUNTERS,
      partition: { topic: "domains", number },
      epoch,
      clientAccounts: () => accountsOf(owner.version),
      configurationAgeMs: () => configurationAgeMs(owner),
      maxConfigurationAgeMs: MAX_CONFIGURATION_AGE_MS,
      partitionsInUse: () => new Set(stored.keys()),
      signal: controller.signal,
      emit: (event) =>
        void applyDomainEvent(domain, event, {
          steadyMs: nowMs,
          wallMs: nowMs,
        }),
    }, domain);
    const owner: Owner = {
      number,
      epoch,
      domain,
      keeper,
      waiting: new Map(),
      tasks: new Set(known.tasks),
      version: caps.length - 1,
      controller,
    };
    if (epoch > 1 && omission !== "unrecorded starts") {
      domain.unsettledWorkers = new Set(workersOf(number).map(String));
    }
    for (const work of known.waiting.values()) addWork(owner, work, true);
    updateAllocated(owner);
    owners.add(owner);
  }

  const accountsByVersion = new Map<
    number,
    ReturnType<typeof createAccounts>
  >();
  function accountsOf(version: number) {
    const known = accountsByVersion.get(version) ??
      createAccounts(caps[version]!);
    accountsByVersion.set(version, known);
    return known;
  }

  function end(owner: Owner): void {
    owner.controller.abort("ended");
    owners.delete(owner);
  }

  /** A scheduling pass of an owner, also of one that was superseded. */
  function runPass(owner: Owner): void {
    const { domain } = owner;
    owner.keeper.observeConfiguration();
    const moment = { steadyMs: nowMs, wallMs: nowMs };
    const limits = createAccountLimits(domain, moment);
    const isSettled = domain.unsettledWorkers.size === 0;
    for (const [id, run] of owner.waiting) {
      if (run.jobRun.isRestored && !isSettled) continue;
      const { taskCount, demand } = run.step;
      if (!limits.admits(run, taskCount)) {
        limits.recordWait(run);
        continue;
      }
      owner.waiting.delete(id);
      domain.jobs.delete(id);
      for (let index = 0; index < taskCount; index += 1) {
        const worker = pick(
          workersOf(owner.number).filter((candidate) =>
            !domain.unsettledWorkers.has(`${candidate}`)
          ),
        ) ?? owner.number * WORKERS_PER_DOMAIN;
        const task: Task = {
          id,
          demand,
          domain: owner.number,
          epoch: owner.epoch,
          worker,
          version: owner.version,
          state: "ordered",
        };
        owner.tasks.add(task);
        orders.add(task);
      }
      updateAllocated(owner);
    }
    owner.keeper.review();
  }

  /** Stores the changes of an owner, or ends it if it was superseded. */
  function commit(owner: Owner): void {
    const known = stored[owner.number]!;
    if (owner.epoch < known.epoch) {
      // Some stay for long, such as on a machine that is cut off.
      if (random.integer(0, 3) === 0) end(owner);
      return;
    }
    known.tasks = new Set(owner.tasks);
    known.waiting = new Map(
      [...owner.waiting].map(([id, { step, waitingCount }]) =>
        [id, { id, demand: step.demand, count: waitingCount }] as const
      ),
    );
  }

  function submit(number: number): void {
    const owner = currentOwner(number);
    if (owner === undefined) return;
    const isGang = random.integer(0, 3) === 0;
    const accelerators = random.integer(0, 3) === 0 ? 1 : 0;
    const work: Work = {
      id: `w${nextId++}`,
      demand: { cpuMillis: random.integer(1, 2), memoryMb: 7, accelerators },
      count: isGang ? random.integer(2, 4) : 1,
    };
    addWork(owner, work, false);
    stored[number]!.waiting.set(work.id, work);
  }

  /** A worker carries out an order, unless it has seen a later owner. */
  function execute(task: Task): void {
    const allowed = allowedCap();
    orders.delete(task);
    if (task.epoch < workerEpochs[task.worker]!) {
      task.state = "over";
      return;
    }
    workerEpochs[task.worker] = task.epoch;
    if (task.state === "ordered") task.state = "running";
    running.add(task);
    let sum = NO_RESOURCES;
    for (const { demand } of running) sum = addResources(sum, demand);
    if (fitsInto(sum, allowed)) return;
    fault ??= `${JSON.stringify(sum)} runs under ${JSON.stringify(allowed)}`;
  }

  /** The highest cap that may be in force, for each resource. */
  function allowedCap(): Resources {
    const recent = caps.findIndex((_, version) =>
      nowMs - (publishedAt[version + 1] ?? nowMs) <= APPLY_MS
    );
    const sent = [...orders].map(({ version }) => version);
    const first = Math.min(recent, ...sent);
    const inForce = caps.slice(first);
    const highest = (name: "cpuMillis" | "accelerators") =>
      Math.max(...inForce.map((cap) => cap[name] === 0 ? Infinity : cap[name]));
    return {
      cpuMillis: highest("cpuMillis"),
      memoryMb: Infinity,
      accelerators: highest("accelerators"),
    };
  }

  /** A worker reports to the present owner, and refuses earlier ones since. */
  function report(worker: number): void {
    const number = Math.floor(worker / WORKERS_PER_DOMAIN);
    const owner = currentOwner(number);
    if (owner === undefined) return;
    workerEpochs[worker] = owner.epoch;
    for (const task of owner.tasks) {
      if (task.worker !== worker) continue;
      const cannotStart = task.state === "ordered" && task.epoch < owner.epoch;
      if (task.state === "over" || cannotStart) owner.tasks.delete(task);
    }
    for (const task of running) {
      if (task.worker === worker && !owner.tasks.has(task)) adopt(owner, task);
    }
    owner.domain.unsettledWorkers.delete(`${worker}`);
    if (owner.domain.unsettledWorkers.size === 0) dropPartialGangs(owner);
    updateAllocated(owner);
  }

  function adopt(owner: Owner, task: Task): void {
    owner.tasks.add(task);
    const run = owner.waiting.get(task.id);
    if (run === undefined || !run.jobRun.isRestored) return;
    run.waitingCount -= 1;
    if (run.waitingCount > 0) return;
    owner.waiting.delete(task.id);
    owner.domain.jobs.delete(task.id);
  }

  function dropPartialGangs({ waiting, domain }: Owner): void {
    for (const [id, { step, waitingCount }] of waiting) {
      if (waitingCount === step.taskCount) continue;
      waiting.delete(id);
      domain.jobs.delete(id);
    }
  }

  function finish(task: Task): void {
    running.delete(task);
    task.state = "over";
  }

  function advance(durationMs: number): void {
    nowMs += durationMs;
    for (const sleep of sleeps) {
      if (sleep.untilMs > nowMs) continue;
      sleeps.delete(sleep);
      sleep.end();
    }
  }

  function act(): void {
    const owner = pick(owners)!;
    const call = pick([...store.calls].filter((call) => !call.isIdle()));
    const order = pick(orders);
    const task = pick(running);
    const kind = random.integer(0, 99);
    if (kind < 12) submit(random.integer(0, DOMAINS - 1));
    else if (kind < 30) runPass(owner);
    else if (kind < 56) call?.answer();
    else if (kind < 58) call?.refuse();
    else if (kind < 60) call?.loseAnswer();
    else if (kind < 62) call?.execute();
    else if (kind < 76) order !== undefined && execute(order);
    else if (kind < 82) task !== undefined && finish(task);
    else if (kind < 85) task !== undefined && (task.state = "stopping");
    else if (kind < 90) report(random.integer(0, workerEpochs.length - 1));
    else if (kind < 92) commit(owner);
    else if (kind < 95) takeOver(random.integer(0, DOMAINS - 1));
    else if (kind < 97) owner.version = caps.length - 1;
    else if (kind < 98) {
      caps.push(randomCap());
      publishedAt.push(nowMs);
    } else advance(random.integer(1, 300));
  }

  /** Everything answers from now on, and each task ends. */
  async function runQuietly(): Promise<void> {
    for (const owner of owners) {
      if (owner !== currentOwner(owner.number)) end(owner);
    }
    for (let round = 0; round < MAX_QUIET_ROUNDS && !fault; round += 1) {
      for (const owner of owners) {
        owner.version = caps.length - 1;
        runPass(owner);
      }
      for (const call of store.calls) if (!call.isIdle()) call.answer();
      await flush();
      for (const order of orders) execute(order);
      for (const task of running) if (random.integer(0, 3) === 0) finish(task);
      for (const worker of workerEpochs.keys()) report(worker);
      advance(50);
      if ([...owners].every((owner) => !hasStartableWork(owner))) return;
    }
    fault ??= "work waits although its account has room";
  }

  function hasStartableWork({ waiting }: Owner): boolean {
    const { cpuMillis, accelerators } = caps.at(-1)!;
    const cap = {
      cpuMillis,
      memoryMb: Infinity,
      accelerators: accelerators === 0 ? Infinity : accelerators,
    };
    return [...waiting.values()].some(({ step }) =>
      fitsInto(multiplyResources(step.demand, step.taskCount), cap)
    );
  }

  for (const number of stored.keys()) takeOver(number);
  for (; action < ACTIONS && fault === undefined; action += 1) {
    act();
    advance(random.integer(0, 16));
    await flush();
  }
  if (fault === undefined && endsQuietly) await runQuietly();
  for (const owner of owners) end(owner);
  return fault;
}

const NO_COUNTERS: Counters = {
  count() {},
  observe() {},
  render: () => Promise.resolve(""),
};

function createAccounts(cap: Resources) {
  return [{ name: ACCOUNT, keys: [], priority: 0, weight: 0, cap }];
}

async function flush(): Promise<void> {
  for (let turn = 0; turn < ATTEMPTED_FLUSHES; turn += 1) await undefined;
}
