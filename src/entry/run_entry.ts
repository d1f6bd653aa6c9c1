/**
 * Runs an entry instance that keeps its state in the platform's store.
 *
 * @module
 */
import { once, setMaxListeners } from "node:events";
import type { Server } from "node:http";
import process from "node:process";
import {
  createHttpCaller,
  createPeerClient,
  createSystemClock,
  type HttpCaller,
} from "../clients/mod.ts";
import { assertNever, hash32 } from "../base/mod.ts";
import type { Clock, GroupMember } from "../hosts/mod.ts";
import {
  createDirectory,
  createDomainHolder,
  createWorkerList,
  type Directory,
  type DomainHolder,
  followTopic,
  joinGroup,
  type WorkerList,
} from "../ownership/mod.ts";
import { createHttpServer, type Route } from "../server/mod.ts";
import {
  type Counters,
  createBoundedStream,
  createCounters,
  createLogger,
  type Logger,
} from "../telemetry/mod.ts";
import { answerCall } from "./answer_call.ts";
import { askPolicy } from "./ask_policy.ts";
import {
  type ConfigurationState,
  createConfigurationState,
} from "./configuration.ts";
import { createEntry, partitionOf } from "./entry.ts";
import type { EntryPlatform, PlatformHost } from "./entry_platform.ts";
import type { EntrySettings } from "./entry_settings.ts";
import {
  type Announcement,
  createInstanceList,
  type InstanceList,
} from "./instance_list.ts";
import type { PeerCall } from "./peer_call.ts";
import { createReachability, type Reachability } from "./reachability.ts";
import { createPeerRpc, createPeerRpcRoute, type PeerRpc } from "./peer_rpc.ts";

const STANDARD_OUTPUT = 1;
const OK = 200;
const UNAVAILABLE = 503;
const MEBIBYTE = 1_048_576;
const MAX_PEER_CONNECTIONS = 1_000;
const BODY_TIMEOUT_MS = 5_000;
const GROUP = "entry-instances";
const DOMAINS_TOPIC = "domains";
const INSTANCES = { topic: "instances", number: 0 };
const CONNECTIONS_PER_PEER = 16;
const CONNECTIONS_PER_WORKER = 5;
/** Opening a connection takes 26 ms to the farthest region. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections are kept; opening one costs more than keeping it. */
const KEEP_ALIVE_MS = 600_000;
/** How long the store holds back an answer for a follower, in ms. */
const FOLLOW_WAIT_MS = 2_000;
/** How often the list of workers is read, in milliseconds. */
const WORKER_LIST_PAUSE_MS = 400;
/** The same while this instance owns no domain, in milliseconds. */
const IDLE_LIST_PAUSE_MS = 1_500;
/** How long the store holds back news of other instances, in ms. */
const INSTANCES_WAIT_MS = 8_000;
/** The longest lease that is used, in milliseconds. */
const LONGEST_LEASE_MS = 5_500;
/** How long leases are granted without word from the store, in ms. */
const TRUST_MS = 14_000;
/** Time between the last answers and the kill, in milliseconds. */
const STOP_MARGIN_MS = 1_500;
const STOP_POLL_MS = 50;
const ANNOUNCE_RETRY_MS = 300;
/** How long a candidate waits for each millisecond to the store. */
const WAIT_PER_DISTANCE = 12;
/** The longest distance to the store that counts, in milliseconds. */
const LONGEST_DISTANCE_MS = 60;
/** Processor share from which an instance is a good owner, in cores. */
const OWNER_CORES = 0.6;
/** How much later an instance without any processor would apply, in ms. */
const SMALL_INSTANCE_WAIT_MS = 1_500;
const MAX_RANDOM_WAIT_MS = 200;
/** How often an owner looks whether the store still confirms it, in ms. */
const WATCH_INTERVAL_MS = 150;
/** Refusals by the store in a row after which another instance is asked. */
const MAX_REFUSALS = 2;
const RESIGN_PAUSE_MS = 1_000;
/** How often an owner is called while calls fail, in milliseconds. */
const OWNER_WATCH_INTERVAL_MS = 400;
/** How many instances are asked for the owners while the store is silent. */
const MAX_INSTANCES_ASKED = 3;
/** Workers that one owner can carry. */
const WORKERS_PER_OWNER = 150;

type Running = {
  settings: EntrySettings;
  platform: EntryPlatform;
  clock: Clock;
  logger: Logger;
  counters: Counters;
  configuration: ConfigurationState;
  directory: Directory;
  workers: WorkerList;
  holder: DomainHolder;
  instances: InstanceList;
  rpc: PeerRpc;
  reachability: Reachability;
  /** Address under which other instances call this one. */
  self: string;
  member: GroupMember;
  /** When the store last confirmed the membership, on the steady clock. */
  confirmedAtMs: () => number;
  /** Confirms the membership at once. */
  confirm: () => void;
  /** How often in a row the store has turned this member away. */
  refusals: () => number;
  /** Gives the membership up to another instance. */
  resign: () => void;
  /** Whether the store has said who the members of the group are. */
  isGroupKnown: () => boolean;
  /** Aborts when the planned stop begins. */
  stopping: AbortController;
  /** Aborts when the process ends. */
  ending: AbortController;
};

/**
 * Runs an entry instance until SIGTERM or SIGINT, then stops it as planned.
 *
 * @returns the exit code of the process
 *
 * @example
 * ```ts
 * process.exitCode = await runEntry(settings, connectPlatform);
 * ```
 */
export async function runEntry(
  settings: EntrySettings,
  connect: (host: PlatformHost) => EntryPlatform,
): Promise<number> {
  // A log that nobody reads must not end the process.
  process.stdout.on("error", () => {});
  const caller = createCaller(CONNECTIONS_PER_PEER);
  const workerCaller = createCaller(CONNECTIONS_PER_WORKER);
  const platform = connect({ settings, caller, workerCaller });
  const running = createRunning(settings, platform, caller);
  const { logger, stopping, ending } = running;
  logger.part("daemon").info("Started.", {
    zone: settings.instance.zone,
    address: running.self,
  });
  process.once("SIGTERM", () => stopping.abort());
  process.once("SIGINT", () => stopping.abort());
  process.on("SIGHUP", () => {
    logger.part("daemon").info("Reloaded: the settings hold until a restart.");
  });
  const servers = serve(running);
  follow(running);
  const candidateWaitMs = await measureCandidateWait(running);
  announce(running, { candidateWaitMs });
  const membership = joinGroup({
    store: platform.store,
    clock: running.clock,
    logger: logger.part("ownership"),
    member: running.member,
    wantedMembers: () => wantedMembers(running),
    candidateWaitMs,
    onAssignment: (assignment) => running.holder.assign(assignment),
    signal: stopping.signal,
  });
  running.confirmedAtMs = membership.confirmedAtMs;
  running.confirm = membership.confirm;
  running.resign = membership.resign;
  running.refusals = membership.refusals;
  watchMembership(running);
  watchOwners(running);
  running.isGroupKnown = membership.isKnown;
  if (!stopping.signal.aborted) await once(stopping.signal, "abort");
  await stop(running, servers);
  ending.abort();
  await Promise.all([caller.close(), workerCaller.close()]);
  logger.part("daemon").info("Stopped.");
  await logger.close();
  return 0;
}

/** As many members as the workers need. */
function wantedMembers(running: Running): number {
  const workers = running.workers.workers().length;
  return Math.max(1, Math.ceil(workers / WORKERS_PER_OWNER));
}

/**
 * How long this instance holds back as a candidate for ownership. The nearest
 * to the store come first, since every decision waits for the store; small
 * instances come later, and a random part keeps equal ones apart.
 */
async function measureCandidateWait(running: Running): Promise<number> {
  const { platform, clock, ending, settings, self } = running;
  const sentAtMs = clock.steadyMs();
  await platform.store.owners(GROUP, ending.signal);
  const distanceMs = clock.steadyMs() - sentAtMs;
  const { cores } = settings.instance;
  const missing = Math.max(0, OWNER_CORES - cores) / OWNER_CORES;
  return Math.round(
    Math.min(distanceMs, LONGEST_DISTANCE_MS) * WAIT_PER_DISTANCE +
      missing * SMALL_INSTANCE_WAIT_MS + hash32(self) % MAX_RANDOM_WAIT_MS,
  );
}

function createCaller(connectionsPerOrigin: number): HttpCaller {
  return createHttpCaller({
    connectionsPerOrigin,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}

function createRunning(
  settings: EntrySettings,
  platform: EntryPlatform,
  caller: HttpCaller,
): Running {
  const ending = new AbortController();
  const { signal } = ending;
  setMaxListeners(0, signal);
  const clock = createSystemClock();
  const logger = createLogger({
    level: settings.log.level,
    format: "json",
    process: settings.instance.id,
    stream: createBoundedStream(STANDARD_OUTPUT),
  });
  const { store } = platform;
  const self = `${settings.listen.internalHost}:${settings.listen.peerPort}`;
  const running: Running = {
    settings,
    platform,
    clock,
    logger,
    counters: createCounters(),
    configuration: createConfigurationState(),
    directory: createDirectory({
      store,
      clock,
      logger: logger.part("ownership"),
      group: GROUP,
      readElsewhere: () => readOwnersElsewhere(running),
      signal,
    }),
    workers: createWorkerList(
      platform.decodeWorker,
      logger.part("ownership"),
      clock,
      settings.workers.heartbeatMs,
    ),
    holder: undefined!,
    instances: createInstanceList(self),
    rpc: createPeerRpc(createPeerClient(caller, { secret: "" }), signal),
    reachability: createReachability(clock),
    self,
    member: {
      group: GROUP,
      member: self,
      topic: DOMAINS_TOPIC,
      ttlMs: settings.store.memberTtlMs,
    },
    confirmedAtMs: () => -Infinity,
    confirm: () => {},
    refusals: () => 0,
    resign: () => {},
    isGroupKnown: () => false,
    stopping: new AbortController(),
    ending,
  };
  running.holder = createHolder(running);
  return running;
}

function createHolder(running: Running): DomainHolder {
  const { settings, platform, clock, logger, counters, ending } = running;
  const { signal } = ending;
  const leaseMs = Math.min(settings.lease.maxMs, LONGEST_LEASE_MS);
  return createDomainHolder({
    store: platform.store,
    tasks: platform.tasks,
    clock,
    logger: logger.part("domain"),
    counters,
    list: running.workers,
    leaseMs,
    trustMs: TRUST_MS,
    self: running.self,
    // A process of this address that owned the domain before is gone.
    hasEnded: async (owner, domain) =>
      owner.instance === running.self ||
      await running.rpc.release(owner.instance, domain, owner.epoch),
    confirmedAtMs: () => running.confirmedAtMs(),
    servesDomain: (service, partition) =>
      partitionOf(service, settings.store.partitions) === partition,
    instances: () => running.instances.addresses(),
    askThrough: (instance, question) =>
      instance === running.self
        ? askPolicy(platform.advice, question, logger, signal)
        : running.rpc.advise(instance, question),
    options: {
      endedJobKeepMs: settings.jobs.keepEndedS * 1_000,
      earlyStartMs: 0,
    },
    signal,
  });
}

/** Follows the configuration and the other instances. */
function follow(running: Running): void {
  const { platform, clock, logger, ending, instances } = running;
  const follower = {
    store: platform.store,
    clock,
    logger: logger.part("store"),
    waitMs: FOLLOW_WAIT_MS,
    pauseMs: () => 0,
    signal: ending.signal,
  };
  const takeConfiguration = (
    records: Parameters<typeof instances.apply>[0],
  ) => {
    for (const record of records) {
      const decoded = platform.decodeConfiguration(record);
      if (decoded === undefined) continue;
      if ("reason" in decoded) {
        logger.part("entry").error("Skipped an unreadable configuration.", {
          key: record.key,
          reason: decoded.reason,
        });
        continue;
      }
      const { configuration } = decoded;
      if (!running.configuration.offer(configuration)) continue;
      logger.part("entry").info("A configuration is in force.", {
        version: configuration.version,
        routes: configuration.routes.length,
      });
    }
  };
  followTopic({
    ...follower,
    partition: platform.configurationTopic,
    onSnapshot: takeConfiguration,
    onRecords: takeConfiguration,
  });
  followTopic({
    ...follower,
    waitMs: 0,
    pauseMs: () =>
      running.holder.count() > 0 ? WORKER_LIST_PAUSE_MS : IDLE_LIST_PAUSE_MS,
    partition: platform.workersTopic,
    onSnapshot: (records) => running.workers.replace(records),
    onRecords: (records) => running.workers.apply(records),
  });
  followTopic({
    ...follower,
    waitMs: INSTANCES_WAIT_MS,
    partition: INSTANCES,
    onSnapshot: (records) => instances.apply(records),
    onRecords: (records) => instances.apply(records),
  });
}

/** Tells the other instances where this one is. */
async function announce(
  running: Running,
  announcement: Announcement,
): Promise<void> {
  const { platform, clock, self, stopping } = running;
  const record = { key: self, value: JSON.stringify(announcement) };
  while (!stopping.signal.aborted) {
    const { signal } = stopping;
    const done = await platform.store.append(
      INSTANCES,
      [record],
      undefined,
      signal,
    );
    if (done.isOk()) return;
    await clock.sleep(ANNOUNCE_RETRY_MS, signal);
  }
}

function serve(running: Running): { callers: Server; internal: Server[] } {
  const { settings, platform, configuration, logger, clock, stopping } =
    running;
  const { listen } = settings;
  const limits = {
    maxBytes: MEBIBYTE,
    timeoutMs: BODY_TIMEOUT_MS,
    maxConnections: MAX_PEER_CONNECTIONS,
  };
  const entry = createEntry({
    ...running,
    logger: logger.part("entry"),
    partitions: settings.store.partitions,
    callPeer: running.rpc.callOwner,
    findAt: running.rpc.find,
    formerServices: (queue) => configuration.formerServices(queue),
    signal: running.ending.signal,
  });
  const callers = platform.createCallerServer({
    entry,
    configuration,
    logger,
    clock,
    isStopping: () => stopping.signal.aborted,
  });
  const rpcRoute = createPeerRpcRoute((call) => answerPeer(running, call));
  const peers = createHttpServer([rpcRoute], limits);
  const readiness = createHttpServer([createReadinessRoute(running)], limits);
  const metrics = createHttpServer([createMetricsRoute(running)], limits);
  callers.listen(listen.callers.port, listen.callers.host);
  readiness.listen(listen.readiness.port, listen.readiness.host);
  peers.listen(listen.peerPort, listen.internalHost);
  metrics.listen(listen.metricsPort, listen.internalHost);
  return { callers, internal: [peers, readiness, metrics] };
}

/** Takes the place of a member that the store turns away. */
async function succeed(running: Running, member: string): Promise<unknown> {
  const { platform, ending, confirm } = running;
  const replaced = { ...running.member, member };
  const left = await platform.store.leave(replaced, ending.signal);
  if (left.isErr()) return { kind: "refused", cause: left.error.message };
  confirm();
  return { kind: "done" };
}

/**
 * Hands the domains over when the store no longer confirms the membership but
 * still serves another instance, which is far quicker than the lapse of the
 * membership.
 */
async function watchMembership(running: Running): Promise<void> {
  const { clock, holder, stopping, instances, rpc, self, logger } = running;
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(WATCH_INTERVAL_MS, signal);
    const refusals = running.refusals();
    if (refusals < MAX_REFUSALS || holder.count() === 0) continue;
    const others = instances.addresses().filter((other) => other !== self);
    for (const instance of others.slice(0, MAX_INSTANCES_ASKED)) {
      if (!await rpc.succeed(instance, running.member.member)) continue;
      logger.part("ownership").warn("Handed the domains over.", {
        instance,
        refusals,
      });
      running.resign();
      // The next look is at a new membership.
      await clock.sleep(RESIGN_PAUSE_MS, signal);
      break;
    }
  }
}

/**
 * Calls an owner again and again while calls fail, since a balancer that
 * knows this instance as unready sends none that could show the end of it.
 */
async function watchOwners(running: Running): Promise<void> {
  const { clock, directory, rpc, self, ending, reachability } = running;
  const { signal } = ending;
  while (!signal.aborted) {
    await clock.sleep(OWNER_WATCH_INTERVAL_MS, signal);
    if (reachability.isFit()) continue;
    await directory.refresh();
    const [owner] = Object.values(directory.known());
    if (owner === undefined) continue;
    const isReached = owner === self || await rpc.owners(owner) !== undefined;
    reachability.note(isReached);
  }
}

/** Asks a few other instances who owns the domains. */
async function readOwnersElsewhere(
  running: Running,
): Promise<Record<string, string> | undefined> {
  const { instances, rpc, self } = running;
  const others = instances.addresses().filter((address) => address !== self);
  for (const address of others.slice(0, MAX_INSTANCES_ASKED)) {
    const owners = await rpc.owners(address);
    if (owners !== undefined && Object.keys(owners).length > 0) return owners;
  }
  return undefined;
}

async function answerPeer(running: Running, call: PeerCall): Promise<unknown> {
  switch (call.kind) {
    case "advise": {
      const { platform, logger, ending } = running;
      const advice = await askPolicy(
        platform.advice,
        call,
        logger,
        ending.signal,
      );
      return advice ?? null;
    }
    case "owners":
      return await running.directory.readStore() ?? {};
    case "find":
      return { partition: await running.holder.find(call.job) };
    case "confirm":
      running.confirm();
      return { kind: "done" };
    case "succeed":
      return await succeed(running, call.member);
    case "release":
      running.holder.release(call.domain, call.epoch);
      return { kind: "done" };
    case "submit":
    case "cancel":
    case "state":
    case "pending":
      return await answerCall(running.holder, call);
    default:
      return assertNever(call);
  }
}

function createReadinessRoute(running: Running): Route {
  return () => {
    const ready = running.configuration.current() !== undefined &&
      running.isGroupKnown() && running.reachability.isFit() &&
      !running.stopping.signal.aborted;
    return { status: ready ? OK : UNAVAILABLE, body: { ready } };
  };
}

function createMetricsRoute(running: Running): Route {
  return async () => ({
    status: OK,
    type: "text/plain; version=0.0.4",
    body: await running.counters.render(),
  });
}

/**
 * The planned stop: the domains go to other instances first; calls that still
 * come over open connections are forwarded until shortly before the kill.
 */
async function stop(
  running: Running,
  servers: ReturnType<typeof serve>,
): Promise<void> {
  const { platform, clock, logger, holder, member, ending, self } = running;
  const { signal } = ending;
  const graceMs = running.settings.stop.graceS * 1_000;
  const untilMs = clock.steadyMs() + graceMs - STOP_MARGIN_MS;
  logger.part("daemon").info("Stops as planned.", { graceMs });
  const wasOwner = holder.count() > 0;
  await holder.close();
  await platform.store.leave(member, signal);
  if (wasOwner) await inviteSuccessor(running);
  platform.store.append(
    INSTANCES,
    [{ key: self, value: undefined }],
    undefined,
    signal,
  );
  await waitForConnections(servers.callers, clock, untilMs);
  const closed = once(servers.callers, "close");
  servers.callers.close();
  servers.callers.closeIdleConnections();
  const waiting = new AbortController();
  await Promise.race([
    closed,
    clock.sleep(STOP_MARGIN_MS / 2, waiting.signal),
  ]);
  waiting.abort();
  servers.callers.closeAllConnections();
  for (const server of servers.internal) {
    server.close();
    server.closeAllConnections();
  }
}

/** Asks the instance nearest to the store to take the free domains over. */
async function inviteSuccessor(running: Running): Promise<void> {
  const { instances, rpc, self, logger } = running;
  for (const instance of instances.addresses()) {
    if (instance === self) continue;
    if (!await rpc.confirm(instance)) continue;
    logger.part("ownership").info("Invited a successor.", { instance });
    return;
  }
}

/** Waits until clients have left, or until a time. */
async function waitForConnections(
  server: Server,
  clock: Clock,
  untilMs: number,
): Promise<void> {
  const never = new AbortController().signal;
  const count = () =>
    new Promise<number>((resolve) => {
      server.getConnections((_error, connections) => resolve(connections));
    });
  // The balancer notices after two questions that the instance is not ready.
  const balancerMs = clock.steadyMs() + BALANCER_NOTICE_MS;
  while (clock.steadyMs() < untilMs) {
    const isLate = clock.steadyMs() > balancerMs;
    if (isLate && await count() === 0) return;
    await clock.sleep(STOP_POLL_MS, never);
  }
}

/** Time in which the balancer takes an instance out, in milliseconds. */
const BALANCER_NOTICE_MS = 2_500;
