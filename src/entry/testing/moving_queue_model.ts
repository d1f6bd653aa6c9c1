/**
 * A randomized simulation of instances that apply the changes of a queue's
 * service at different times, while domains change their owners, and while calls
 * to the store and between instances are late, lost or refused. Routers, owners
 * and directories are the real ones. All faults derive from a seed.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { createRandomness } from "../../clients/mod.ts";
import { policy, step } from "../../domain/testing/domain_bench.ts";
import type { Clock, Randomness } from "../../hosts/mod.ts";
import {
  createDirectory,
  createOwnedDomains,
  createRelayReportRouter,
  createWorkerList,
  type Directory,
  type OwnedDomains,
} from "../../ownership/mod.ts";
import { currentInstant } from "../../ownership/instant.ts";
import {
  createSimulatedClock,
  type SimulatedClock,
} from "../../ownership/testing/simulated_clock.ts";
import { createCounters } from "../../telemetry/mod.ts";
import {
  type CallOutcome,
  type CallRouter,
  createCallRouter,
  type PeerCallOutcome,
} from "../call_router.ts";
import {
  type DomainCallHost,
  executeDomainCall,
} from "../execute_domain_call.ts";
import { partitionOf } from "../partition_of.ts";
import type { DomainCall } from "../peer_call.ts";
import {
  createQueueDirectory,
  type QueueDirectory,
} from "../queue_directory.ts";
import { createReachability } from "../reachability.ts";
import { replaceQueueRecords } from "../replace_queue_records.ts";
import { silentLogger } from "./manual_clock.ts";
import {
  createSimulatedStore,
  type SimulatedStore,
} from "./simulated_store.ts";

const PARTITION_COUNT = 8;
const DOMAINS_TOPIC = "domains";
/** Services of different domains. */
const SERVICES = ["press", "desk", "post"];
const ADDRESS = "desk.example/proofs/";
const CALL_TIMEOUT_MS = 2_900;
/** Each job is submitted, read and perhaps cancelled within this time, in ms. */
const JOB_SPREAD_MS = 4_000;
const STEP_MS = 10;
const SETTLE_MS = 8_000;
/** The longest time of one way between instances, in milliseconds. */
const MAX_WAY_MS = 15;
/** The longest time for which a call is held up on its way, in milliseconds. */
const MAX_HELD_MS = 1_500;

/** What a simulation consists of. */
export type MovingQueueFaults = {
  /** How many calls of clients there are for each of the jobs. */
  callsPerJob: number;
  jobs: number;
  /** When the queue moves, in milliseconds. */
  movesAtMs: number[];
  /** How much later an instance may apply a move, in milliseconds. */
  maxLateMs: number;
  /** How many times a domain changes its owner. */
  takeovers: number;
  /** One in this many calls to the store fails in each of the ways. */
  storeFaultOdds: number;
  /** One in this many calls between instances is held up or lost. */
  peerFaultOdds: number;
  /** Whether jobs are cancelled, too. */
  hasCancels: boolean;
  /**
   * How long the queue is unused before all that, in milliseconds; after a minute
   * its domains drop their records.
   */
  quietMs: number;
};

type Instance = {
  name: string;
  ownedDomains: OwnedDomains;
  directory: Directory;
  queues: QueueDirectory;
  calls: DomainCallHost;
  router: CallRouter;
  /** The queue and its service, as the instance knows them. */
  service: string;
};

type Model = {
  random: Randomness;
  clock: SimulatedClock;
  store: SimulatedStore;
  instances: Instance[];
  generation: number;
  controller: AbortController;
  faults: MovingQueueFaults;
  /** Jobs that were accepted, and when. */
  acceptedAtMs: Map<string, number>;
  /** Jobs whose cancellation was answered. */
  cancelled: Set<string>;
  broken: string[];
};

/** How a simulation ended. */
export type MovingQueueResult = {
  /** What was broken; empty if nothing was. */
  broken: string[];
  /** The number of jobs that were accepted. */
  accepted: number;
};

/** What happens at a time of a simulation, in milliseconds. */
type PlannedEvent = { atMs: number; run: () => void };

/** Runs a simulation. */
export async function simulateMovingQueue(
  seed: number,
  faults: MovingQueueFaults,
): Promise<MovingQueueResult> {
  const model = createModel(seed, faults);
  const { clock, controller } = model;
  const endMs = faults.quietMs + Math.max(...faults.movesAtMs, 0) +
    faults.maxLateMs + SETTLE_MS;
  assignAll(model);
  const events = [...planEvents(model, endMs)]
    .sort((a, b) => a.atMs - b.atMs);
  for (let nowMs = 0; nowMs < endMs + SETTLE_MS; nowMs += STEP_MS) {
    while (events[0] !== undefined && events[0].atMs <= nowMs) {
      events.shift()!.run();
    }
    await clock.advance(STEP_MS);
  }
  checkDomains(model);
  controller.abort();
  await clock.advance(STEP_MS);
  return { broken: model.broken, accepted: model.acceptedAtMs.size };
}

/** Plans the first use of the queue, its moves, the takeovers and the calls. */
function* planEvents(model: Model, endMs: number): Generator<PlannedEvent> {
  const { random, faults, instances } = model;
  const { takeovers, jobs, quietMs } = faults;
  for (const instance of instances) {
    const target = targetOf(instance);
    const run = () => instance.router.pendingJobs(target, CALL_TIMEOUT_MS);
    yield { atMs: 0, run };
  }
  yield* planMoves(model);
  for (let count = 0; count < takeovers; count += 1) {
    const atMs = random.integer(quietMs, endMs);
    yield { atMs, run: () => changeOwner(model) };
  }
  for (let index = 0; index < jobs; index += 1) {
    const atMs = random.integer(quietMs + 100, endMs - SETTLE_MS);
    yield* planCalls(model, index.toString(16).padStart(16, "0"), atMs);
  }
}

/** Plans when each instance applies each move; a third of them may be late. */
function* planMoves(model: Model): Generator<PlannedEvent> {
  const { random, faults, instances } = model;
  for (const [index, moveAtMs] of faults.movesAtMs.entries()) {
    const service = SERVICES[(index + 1) % SERVICES.length]!;
    for (const instance of instances) {
      const isLate = random.integer(0, 2) === 0;
      const lateMs = random.integer(0, isLate ? faults.maxLateMs : 100);
      const run = () => {
        instance.service = service;
        instance.queues.refresh();
      };
      yield { atMs: faults.quietMs + moveAtMs + lateMs, run };
    }
  }
}

function createModel(seed: number, faults: MovingQueueFaults): Model {
  const random = createRandomness(seed);
  const clock = createSimulatedClock();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const { storeFaultOdds } = faults;
  const odds = { refused: storeFaultOdds, unanswered: storeFaultOdds };
  const model: Model = {
    random,
    clock,
    store: createSimulatedStore(clock, random, odds),
    instances: [],
    generation: 1,
    controller,
    faults,
    acceptedAtMs: new Map(),
    cancelled: new Set(),
    broken: [],
  };
  for (const name of ["a", "b", "c"]) {
    model.instances.push(createInstance(model, name));
  }
  return model;
}

function createInstance(model: Model, name: string): Instance {
  const { clock, controller, store } = model;
  const { signal } = controller;
  const common = { clock, logger: silentLogger, signal, store: store.host };
  const directory = createDirectory({
    ...common,
    group: "owners",
    readFromPeers: () => Promise.resolve(undefined),
  });
  const queues = createQueueDirectory(common);
  const calls: DomainCallHost = {
    ...common,
    directory,
    ownedDomains: createDomains(model, name),
    self: name,
    partitionCount: PARTITION_COUNT,
    findJobAt: (peer, job, partitions, options) =>
      overNetwork(
        model,
        () =>
          instanceOf(model, peer).ownedDomains.find(job, partitions, options),
      ),
  };
  const router = createCallRouter({
    ...calls,
    counters: createCounters(),
    queues,
    reachability: createReachability(clock),
    partitionsInUse: () => new Set(),
    isAssigned: () => true,
    callPeer: (peer, call, timeoutMs) =>
      callPeer(model, instanceOf(model, peer), call, timeoutMs),
  });
  replaceQueueRecords({
    ...calls,
    platform: { store: store.host },
    logger: { part: () => silentLogger },
    stopping: controller,
  });
  const service = SERVICES[0]!;
  return { ...calls, name, queues, calls, router, service };
}

function createDomains(
  { clock, store, controller }: Model,
  name: string,
): OwnedDomains {
  const unused = () => Promise.reject(new Error("there are no workers"));
  return createOwnedDomains({
    store: store.host,
    tasks: { poll: unused, start: unused, stop: unused, pace: unused },
    clock,
    logger: silentLogger,
    counters: createCounters(),
    workerList: createWorkerList(
      () => ({ reason: "none" }),
      silentLogger,
      clock,
      1_500,
    ),
    leaseMs: 5_000,
    maxLeaseMs: 10_000,
    ownershipValidMs: 10_000,
    self: name,
    reportAddress: name,
    hasStoppedGranting: () => Promise.resolve(true),
    confirmedAt: () => currentInstant(clock),
    checkInstances: () => Promise.resolve(),
    relayPeers: () => [],
    relaySessions: createRelayReportRouter(),
    newSession: () => "session",
    postToRelay: () => Promise.resolve(undefined),
    clientAccounts: () => [],
    configurationAgeMs: () => 0,
    maxConfigurationAgeMs: 3_500,
    partitionsInUse: () => new Set(),
    isInUse: () => true,
    servesDomain: () => false,
    onTakeover() {},
    rejoinGroup() {},
    instances: () => [name],
    requestAdvice: () => Promise.resolve(undefined),
    options: { endedJobKeepMs: 600_000 },
    signal: controller.signal,
  });
}

function instanceOf({ instances }: Model, name: string): Instance {
  return instances.find((instance) => instance.name === name)!;
}

/** Gives each domain of the services an owner. */
function assignAll(model: Model): void {
  for (const service of SERVICES) {
    const number = partitionOf(service, PARTITION_COUNT);
    const { name } = model.instances[model.random.integer(0, 2)]!;
    model.store.members.set(number, name);
  }
  for (const instance of model.instances) assign(model, instance);
}

function assign(model: Model, instance: Instance): void {
  const partitions = [...model.store.members]
    .filter(([, name]) => name === instance.name)
    .map(([number]) => ({ topic: DOMAINS_TOPIC, number }));
  instance.ownedDomains.assign({ generation: model.generation, partitions });
}

/** Gives a domain to another instance; the former owner learns of it late. */
function changeOwner(model: Model): void {
  const { random, store, clock, instances } = model;
  const service = SERVICES[random.integer(0, SERVICES.length - 1)]!;
  const number = partitionOf(service, PARTITION_COUNT);
  const former = instanceOf(model, store.members.get(number)!);
  const next = instances[random.integer(0, instances.length - 1)]!;
  if (next === former) return;
  model.generation += 1;
  store.members.set(number, next.name);
  assign(model, next);
  const isFrozen = random.integer(0, 1) === 0;
  const delayMs = random.integer(0, isFrozen ? 3_000 : 50);
  clock.sleep(delayMs, model.controller.signal).then(() =>
    assign(model, former)
  );
}

/** Plans the calls of clients about one job. */
function* planCalls(
  model: Model,
  job: string,
  firstAtMs: number,
): Generator<PlannedEvent> {
  const { random, faults } = model;
  const isCancelled = faults.hasCancels && random.integer(0, 3) === 0;
  for (let count = 0; count < faults.callsPerJob; count += 1) {
    const atMs = firstAtMs + random.integer(0, JOB_SPREAD_MS);
    const instance = model.instances[random.integer(0, 2)]!;
    const isSubmission = count === 0 || random.integer(0, 2) > 0;
    const change = isCancelled ? cancel : read;
    const call = isSubmission ? submit : change;
    yield { atMs, run: () => call(model, instance, job) };
  }
}

async function submit(
  { clock, acceptedAtMs }: Model,
  { router, service }: Instance,
  id: string,
): Promise<void> {
  const request = { id, specification: "text", steps: [step()] };
  const outcome = await router.submit(
    request,
    { ...policy(), service },
    CALL_TIMEOUT_MS,
    ADDRESS,
  );
  if (outcome.kind !== "done" || acceptedAtMs.has(id)) return;
  acceptedAtMs.set(id, clock.steadyMs());
}

function targetOf({ service }: Instance) {
  return { queue: policy().queue, service, address: ADDRESS };
}

async function read(
  { clock, acceptedAtMs, broken }: Model,
  instance: Instance,
  job: string,
): Promise<void> {
  const startedAtMs = clock.steadyMs();
  const outcome: CallOutcome<unknown> = await instance.router.stateOf(
    job,
    targetOf(instance),
    CALL_TIMEOUT_MS,
  );
  const wasAccepted = (acceptedAtMs.get(job) ?? Infinity) < startedAtMs;
  if (!wasAccepted || outcome.kind !== "unknownJob") return;
  broken.push(`${job} is unknown at ${instance.name}, ${startedAtMs}`);
}

async function cancel(
  { cancelled }: Model,
  instance: Instance,
  job: string,
): Promise<void> {
  const outcome = await instance.router.cancel(
    job,
    targetOf(instance),
    CALL_TIMEOUT_MS,
  );
  const isAnswered = outcome.kind === "done" || outcome.kind === "unknownJob";
  if (isAnswered) cancelled.add(job);
}

/** Finds jobs that two domains have, or that run although they are cancelled. */
function checkDomains({ store, cancelled, broken, acceptedAtMs }: Model): void {
  const holders = new Map<string, number[]>();
  for (let number = 0; number < PARTITION_COUNT; number += 1) {
    for (
      const { key, value } of store.newestOf({
        topic: DOMAINS_TOPIC,
        number,
      })
    ) {
      if (!key.startsWith("job/") || value === undefined) continue;
      const { id, outcome } = JSON.parse(value);
      holders.set(id, [...holders.get(id) ?? [], number]);
      if (cancelled.has(id) && outcome === "open") {
        broken.push(`${id} was cancelled and is open in ${number}`);
      }
    }
  }
  for (const [job, numbers] of holders) {
    if (numbers.length > 1) broken.push(`${job} is in the domains ${numbers}`);
  }
  for (const job of acceptedAtMs.keys()) {
    if (!holders.has(job)) broken.push(`${job} was accepted and is gone`);
  }
}

/** A call to another instance, which may be held up or get no answer. */
async function overNetwork<Value>(
  { clock, random, faults, controller }: Model,
  execute: () => Promise<Value>,
): Promise<Value | undefined> {
  const isDisturbed = random.integer(1, faults.peerFaultOdds) === 1;
  const maxWayMs = isDisturbed ? MAX_HELD_MS : MAX_WAY_MS;
  const isAnswered = !isDisturbed || random.integer(0, 1) === 0;
  await clock.sleep(random.integer(0, maxWayMs), controller.signal);
  const value = await execute();
  await clock.sleep(random.integer(0, maxWayMs), controller.signal);
  return isAnswered ? value : undefined;
}

async function callPeer(
  model: Model,
  peer: Instance,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerCallOutcome> {
  const clock: Clock = model.clock;
  const answer = await Promise.race([
    overNetwork(model, () => executeDomainCall(peer.calls, call)),
    clock.sleep(timeoutMs, model.controller.signal),
  ]);
  if (answer === undefined) return { kind: "unknown", cause: "no answer" };
  return { kind: "answered", answer };
}
