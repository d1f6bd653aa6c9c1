/**
 * The parts of a running entry instance.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import {
  createHttpClient,
  createPeerClient,
  createSystemClock,
  type HttpClient,
} from "../clients/mod.ts";
import type { Clock, GroupMember } from "../hosts/mod.ts";
import {
  createDirectory,
  createDomainHolder,
  createRelayHolder,
  createRelaySessions,
  createWorkerList,
  type Directory,
  type DomainHolder,
  type GroupMembership,
  type HeardStore,
  hearStore,
  LONG_AGO,
  type RelayHolder,
  type RelaySessions,
  type WorkerList,
} from "../ownership/mod.ts";
import {
  type Counters,
  createBoundedStream,
  createCounters,
  createLogger,
  type Logger,
} from "../telemetry/mod.ts";
import { createTimeLine, type TimeLine } from "../time_line/mod.ts";
import { askPolicy } from "./ask_policy.ts";
import {
  type ConfigurationState,
  createConfigurationState,
} from "./configuration.ts";
import { partitionOf } from "./entry.ts";
import type { EntryPlatform, PlatformHost } from "./entry_platform.ts";
import type { Settings } from "../settings/mod.ts";
import { createInstanceList, type InstanceList } from "./instance_list.ts";
import { createManifestState, type ManifestState } from "./manifest_state.ts";
import { createPeerRpc, type PeerRpc } from "./peer_rpc.ts";
import { createReachability, type Reachability } from "./reachability.ts";
import { recordLog } from "./record_log.ts";
import { servicesOf } from "./services.ts";
import { readOwnersElsewhere } from "./read_owners_elsewhere.ts";

/** The group of the store whose members own the domains. */
export const GROUP = "entry-instances";
const STANDARD_OUTPUT = 1;
const BASE_36 = 36;
/** The topic with one partition for each domain. */
export const DOMAINS_TOPIC = "domains";
/** How many events of the time line are kept. */
const TIME_LINE_CAPACITY = 2_000;
const CONNECTIONS_PER_PEER = 16;
const CONNECTIONS_PER_WORKER = 5;
/** Opening a connection takes 26 ms to the farthest region. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections are kept; opening one costs more than keeping it. */
const KEEP_ALIVE_MS = 600_000;
/** The longest lease that is used, in milliseconds. */
const LONGEST_LEASE_MS = 5_500;
/** How long leases are granted without word from the store, in ms. */
const TRUST_MS = 14_000;

export type Running = {
  settings: Settings;
  platform: EntryPlatform & { store: HeardStore };
  /** The callers of every connection that the instance opens. */
  callers: HttpClient[];
  clock: Clock;
  logger: Logger;
  counters: Counters;
  configuration: ConfigurationState;
  manifest: ManifestState;
  timeLine: TimeLine;
  /** Names this run of the instance. */
  incarnation: string;
  directory: Directory;
  workers: WorkerList;
  holder: DomainHolder;
  /** The sessions in which this instance holds links for owners. */
  relays: RelayHolder;
  /** The sessions of owners in this process. */
  relaySessions: RelaySessions;
  instances: InstanceList;
  rpc: PeerRpc;
  reachability: Reachability;
  /** Address under which other instances call this one. */
  self: string;
  member: GroupMember;
  /** The membership in the group of owners, once it has begun. */
  membership: GroupMembership | undefined;
  /** Aborts when the planned stop begins. */
  stopping: AbortController;
  /** Aborts when the process ends. */
  ending: AbortController;
};

/** All parts but the holders, which are built on them. */
type RunningParts = Omit<Running, "holder" | "relays">;

/** Creates the parts; nothing is sent yet. */
export function createRunning(
  settings: Settings,
  connect: (host: PlatformHost) => EntryPlatform,
): Running {
  const caller = createCaller(CONNECTIONS_PER_PEER);
  const workerCaller = createCaller(CONNECTIONS_PER_WORKER);
  const clock = createSystemClock();
  const connected = connect({ settings, caller, workerCaller });
  const store = hearStore(connected.store, clock);
  const platform = { ...connected, store };
  const ending = new AbortController();
  const stopping = new AbortController();
  const { signal } = ending;
  // Every loop and call in flight listens to the end of the process.
  setMaxListeners(0, signal, stopping.signal);
  const incarnation = Date.now().toString(BASE_36);
  const timeLine = createTimeLine({
    process: settings.instance.id,
    incarnation,
    capacity: TIME_LINE_CAPACITY,
  });
  const written = createLogger({
    level: settings.log.level,
    format: "json",
    process: settings.instance.id,
    stream: createBoundedStream(STANDARD_OUTPUT),
  });
  // Only the product's own interface shows the time line.
  const logger = settings.listen.api === undefined
    ? written
    : recordLog(written, timeLine, clock);
  const self = `${settings.listen.internalHost}:${settings.listen.peerPort}`;
  const parts: RunningParts = {
    settings,
    platform,
    callers: [caller, workerCaller],
    clock,
    logger,
    counters: createCounters(),
    configuration: createConfigurationState(),
    manifest: createManifestState(),
    timeLine,
    incarnation,
    directory: createDirectory({
      store,
      clock,
      logger: logger.part("ownership"),
      group: GROUP,
      readElsewhere: () => readOwnersElsewhere(parts),
      signal,
    }),
    workers: createWorkerList(
      platform.decodeWorker,
      logger.part("ownership"),
      clock,
      settings.workers.heartbeatMs,
    ),
    instances: createInstanceList(self),
    relaySessions: createRelaySessions(),
    rpc: createPeerRpc(
      createPeerClient(caller, { secret: settings.peers.secret }),
      timeLine,
      signal,
    ),
    reachability: createReachability(clock),
    self,
    member: {
      group: GROUP,
      member: self,
      topic: DOMAINS_TOPIC,
      ttlMs: settings.store.memberTtlMs,
    },
    membership: undefined,
    stopping,
    ending,
  };
  return Object.assign(parts, {
    holder: createHolder(parts),
    relays: createRelays(parts),
  });
}

/** The partitions of the services that are in use. */
export function partitionsInUse(
  running: Pick<Running, "configuration" | "manifest" | "settings">,
): Set<number> {
  const { partitions } = running.settings.store;
  return new Set(
    servicesOf(running).map((service) => partitionOf(service, partitions)),
  );
}

function createHolder(running: RunningParts): DomainHolder {
  const { settings, platform, clock, logger, counters, ending } = running;
  const { signal } = ending;
  const leaseMs = leaseMsOf(settings);
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
    confirmedAt: () => running.membership?.confirmedAt() ?? LONG_AGO,
    isInUse: (partition) => partitionsInUse(running).has(partition),
    renewMembership: () => running.membership?.renew(),
    onTaken: (partition, epoch) => tellOwner(running, partition, epoch),
    servesDomain: (service, partition) =>
      partitionOf(service, settings.store.partitions) === partition,
    instances: () => running.instances.addresses(),
    relayPeers: () => running.instances.relayPeers(),
    relaySessions: running.relaySessions,
    newSession: () => `${running.self}/${randomUUID()}`,
    postToRelay: (relay, call) => running.rpc.relay(relay, call),
    askThrough: (instance, question) =>
      instance === running.self
        ? askPolicy(platform.advice, question, logger, signal)
        : running.rpc.advise(instance, question),
    options: {
      endedJobKeepMs: settings.jobs.keepEndedS * 1_000,
    },
    signal,
  });
}

/**
 * Tells every instance that this one owns a domain, so that calls which wait
 * for the former owner move at once.
 */
function tellOwner(
  { directory, instances, rpc, self }: RunningParts,
  partition: number,
  epoch: number,
): void {
  directory.learn(partition, self, epoch);
  for (const instance of instances.addresses()) {
    if (instance !== self) rpc.owned(instance, self, partition, epoch);
  }
}

function createRelays(running: RunningParts): RelayHolder {
  return createRelayHolder({
    tasks: running.platform.tasks,
    clock: running.clock,
    logger: running.logger.part("domain"),
    counters: running.counters,
    leaseMs: leaseMsOf(running.settings),
    report: (owner, session, batch) =>
      running.rpc.relayed(owner, {
        ...batch,
        session,
        isLeaving: running.stopping.signal.aborted,
      }),
    signal: running.ending.signal,
  });
}

function leaseMsOf(settings: Settings): number {
  return Math.min(settings.lease.maxMs, LONGEST_LEASE_MS);
}

function createCaller(connectionsPerOrigin: number): HttpClient {
  return createHttpClient({
    connectionsPerOrigin,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}
