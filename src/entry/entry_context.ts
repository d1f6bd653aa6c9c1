/**
 * Everything that a running entry instance consists of.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { memoize } from "../base/mod.ts";
import {
  createHttpClient,
  createPeerClient,
  createSystemClock,
  type HttpClient,
  type HttpClientOptions,
} from "../clients/mod.ts";
import type { Clock, GroupMember } from "../hosts/mod.ts";
import {
  createClockHistory,
  createDirectory,
  createOwnedDomains,
  createRelayReportRouter,
  createRelayServer,
  createWorkerList,
  type Directory,
  DISTANT_PAST,
  type GroupMembership,
  type OwnedDomains,
  type RelayReportRouter,
  type RelayServer,
  type TrackedStore,
  trackStore,
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
import { announceOwnership } from "./announce_ownership.ts";
import { requestAdvice } from "./request_advice.ts";
import {
  type ConfigurationState,
  createConfigurationState,
} from "./configuration.ts";
import {
  type ConfigurationIntake,
  createConfigurationIntake,
} from "./configuration_intake.ts";
import type { EntryPlatform, PlatformHost } from "./entry_platform.ts";
import type { Settings } from "../settings/mod.ts";
import { createInstanceList, type InstanceList } from "./instance_list.ts";
import { createManifestState, type ManifestState } from "./manifest_state.ts";
import type { OwnerDiscovery } from "./owner_discovery.ts";
import { createPeerContact, type PeerContact } from "./peer_contact.ts";
import { reportAddress } from "./peer_ports.ts";
import { partitionOf } from "./partition_of.ts";
import { createPeerRpc, type PeerRpc } from "./peer_rpc.ts";
import { recordedPartitions } from "./earlier_domains.ts";
import {
  createQueueDirectory,
  type QueueDirectory,
} from "./queue_directory.ts";
import { createReachability, type Reachability } from "./reachability.ts";
import { createRecordingLogger } from "./recording_logger.ts";
import { servicesOf } from "./services.ts";
import { checkAllInstances } from "./remove_gone_instances.ts";
import {
  createSilentInstances,
  type SilentInstances,
} from "./silent_instances.ts";
import { readOwnersFromPeers } from "./read_owners_from_peers.ts";

/** The group of the store whose members own the domains. */
export const OWNER_GROUP = "entry-instances";
const STDOUT_FD = 1;
const BASE_36 = 36;
/** The topic with one partition per domain. */
export const DOMAINS_TOPIC = "domains";
/** Number of timeline events that are kept. */
const MAX_TIME_LINE_EVENTS = 2_000;
const CONNECTIONS_PER_SERVICE = 16;
const CONNECTIONS_PER_PEER = 16;
/** A peer that is behind would get too many new connections otherwise. */
const PEER_REQUESTS_AFTER_TIMEOUT = 2;
const CONNECTIONS_PER_WORKER = 5;
/** Opening a connection to the farthest region takes 26 ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections are kept, since opening one costs more than keeping it. */
const KEEP_ALIVE_MS = 600_000;
/** Upper limit of the configured lease duration, in milliseconds. */
const MAX_LEASE_MS = 5_500;
/** How long leases are granted while the store does not answer, in ms. */
const MAX_GRANT_WITHOUT_STORE_MS = 14_000;

/** Settings, clients and state that the parts of an entry instance share. */
export type EntryContext = {
  settings: Settings;
  platform: EntryPlatform & { store: TrackedStore };
  /** HTTP clients of all connections that the instance opens. */
  httpClients: HttpClient[];
  clock: Clock;
  logger: Logger;
  counters: Counters;
  configuration: ConfigurationState;
  configurationIntake: ConfigurationIntake;
  manifest: ManifestState;
  /** Which domains may have jobs of which queue. */
  queues: QueueDirectory;
  timeLine: TimeLine;
  /** Identifies this run of the instance. */
  incarnation: string;
  directory: Directory;
  workers: WorkerList;
  ownedDomains: OwnedDomains;
  /** Relays links to workers for owners in other instances. */
  relayServer: RelayServer;
  /** Routes the reports of relays to the owners in this process. */
  relaySessions: RelayReportRouter;
  instances: InstanceList;
  /** The instances that did not answer their last check. */
  silentInstances: SilentInstances;
  rpc: PeerRpc;
  peerContact: PeerContact;
  reachability: Reachability;
  /** Address at which other instances call this one. */
  self: string;
  member: GroupMember;
  /** Membership in the owner group; undefined until the instance joins. */
  membership: GroupMembership | undefined;
  /** The search for owners after the start; undefined until it begins. */
  ownerDiscovery: OwnerDiscovery | undefined;
  /** Aborts when the graceful stop begins. */
  stopping: AbortController;
  /** Aborts when client calls that still wait have to be answered. */
  closing: AbortController;
  /** Aborts when the process ends. */
  ending: AbortController;
};

/** The context without the parts that are created from it. */
type EntryContextParts = Omit<EntryContext, "ownedDomains" | "relayServer">;

/** Creates the context without sending anything yet. */
export function createEntryContext(
  settings: Settings,
  connect: (host: PlatformHost) => EntryPlatform,
): EntryContext {
  const httpClient = createEntryHttpClient({
    connectionsPerOrigin: CONNECTIONS_PER_SERVICE,
  });
  const peerHttpClient = createEntryHttpClient({
    connectionsPerOrigin: CONNECTIONS_PER_PEER,
    requestsAfterTimeout: PEER_REQUESTS_AFTER_TIMEOUT,
  });
  const workerHttpClient = createEntryHttpClient({
    connectionsPerOrigin: CONNECTIONS_PER_WORKER,
  });
  const clock = createSystemClock();
  const connectedPlatform = connect({ settings, httpClient, workerHttpClient });
  const store = trackStore(connectedPlatform.store, clock);
  const platform = { ...connectedPlatform, store };
  const ending = new AbortController();
  const stopping = new AbortController();
  const closing = new AbortController();
  const { signal } = ending;
  // Every loop and call in flight adds a listener, which exceeds the limit
  // above which Node warns of a leak.
  setMaxListeners(0, signal, stopping.signal, closing.signal);
  const incarnation = Date.now().toString(BASE_36);
  const timeLine = createTimeLine({
    process: settings.instance.id,
    incarnation,
    capacity: MAX_TIME_LINE_EVENTS,
  });
  const stdoutLogger = createLogger({
    level: settings.log.level,
    format: "json",
    process: settings.instance.id,
    stream: createBoundedStream(STDOUT_FD),
  });
  // Only the product's own API exposes the timeline.
  const logger = settings.listen.api === undefined
    ? stdoutLogger
    : createRecordingLogger(stdoutLogger, timeLine, clock);
  const peerContact = createPeerContact(clock);
  const self = `${settings.listen.internalHost}:${settings.listen.peerPort}`;
  const configuration = createConfigurationState();
  const parts: EntryContextParts = {
    settings,
    platform,
    httpClients: [httpClient, peerHttpClient, workerHttpClient],
    clock,
    logger,
    counters: createCounters(),
    configuration,
    configurationIntake: createConfigurationIntake({
      configuration,
      clocks: createClockHistory(clock),
      logger: logger.part("entry"),
      decode: platform.decodeConfiguration,
      onApplied: () => parts.queues.refresh(),
    }),
    manifest: createManifestState(),
    queues: createQueueDirectory({
      store,
      clock,
      logger: logger.part("store"),
      signal,
    }),
    timeLine,
    incarnation,
    directory: createDirectory({
      store,
      clock,
      logger: logger.part("ownership"),
      group: OWNER_GROUP,
      readFromPeers: () => readOwnersFromPeers(parts),
      signal,
    }),
    workers: createWorkerList(
      platform.decodeWorker,
      logger.part("ownership"),
      clock,
      settings.workers.heartbeatMs,
    ),
    instances: createInstanceList(self, logger.part("entry")),
    silentInstances: createSilentInstances(clock),
    relaySessions: createRelayReportRouter(),
    rpc: createPeerRpc(
      createPeerClient(peerHttpClient, { secret: settings.peers.secret }),
      timeLine,
      peerContact,
      signal,
    ),
    peerContact,
    reachability: createReachability(clock),
    self,
    member: {
      group: OWNER_GROUP,
      member: self,
      topic: DOMAINS_TOPIC,
      // The store takes whole milliseconds.
      ttlMs: Math.ceil(settings.store.memberTtlMs),
    },
    membership: undefined,
    ownerDiscovery: undefined,
    stopping,
    closing,
    ending,
  };
  const context: EntryContext = Object.assign(parts, {
    ownedDomains: createInstanceDomains(
      parts,
      () => checkAllInstances(context),
    ),
    relayServer: createInstanceRelayServer(parts),
  });
  return context;
}

/**
 * Returns the partitions of the domains whose services are in use, and of those
 * that may still have jobs of queues that moved to other services.
 */
export function partitionsInUse(
  context: Pick<
    EntryContext,
    "configuration" | "manifest" | "settings" | "queues"
  >,
): Set<number> {
  const { partitions } = context.settings.store;
  return new Set([
    ...servicesOf(context).map((service) => partitionOf(service, partitions)),
    ...recordedPartitions(context.queues.known()),
  ]);
}

function createInstanceDomains(
  context: EntryContextParts,
  checkInstances: () => Promise<void>,
): OwnedDomains {
  const { settings, platform, clock, logger, counters, ending } = context;
  const { instances, silentInstances } = context;
  const { signal } = ending;
  const leaseMs = leaseMsOf(settings);
  // Each domain asks for each worker whenever the list of workers changes.
  const lookUpPartition = memoize((service) =>
    partitionOf(service, settings.store.partitions)
  );
  return createOwnedDomains({
    store: platform.store,
    tasks: platform.tasks,
    clock,
    logger: logger.part("domain"),
    counters,
    workerList: context.workers,
    leaseMs,
    maxLeaseMs: settings.lease.maxMs,
    ownershipValidMs: MAX_GRANT_WITHOUT_STORE_MS,
    self: context.self,
    // Only one process can have this address, so an earlier owner with the
    // same address has ended.
    hasStoppedGranting: async (owner, domain) =>
      owner.instance === context.self ||
      await context.rpc.release(owner.instance, domain, owner.epoch),
    confirmedAt: () => context.membership?.confirmedAt() ?? DISTANT_PAST,
    clientAccounts: () => context.configuration.current()?.clientAccounts,
    configurationAgeMs: context.configurationIntake.ageMs,
    maxConfigurationAgeMs: settings.accounts.maxConfigurationAgeMs,
    partitionsInUse: () => partitionsInUse(context),
    isInUse: (partition) => partitionsInUse(context).has(partition),
    rejoinGroup: () => context.membership?.rejoin(),
    onTakeover: (partition, epoch) =>
      broadcastOwnership(context, partition, epoch),
    servesDomain: (service, partition) =>
      lookUpPartition(service) === partition,
    checkInstances,
    instances: () =>
      instances.addresses().filter((address) =>
        !silentInstances.isSilent(address)
      ),
    relayPeers: () =>
      instances.relayPeers().filter(({ address }) =>
        !silentInstances.isSilent(address)
      ),
    reportAddress: reportAddress(settings.listen),
    relaySessions: context.relaySessions,
    newSession: () => `${context.self}/${randomUUID()}`,
    postToRelay: (relay, call) => context.rpc.relay(relay, call),
    requestAdvice: (instance, question) =>
      instance === context.self
        ? requestAdvice(platform.advice, question, logger, signal)
        : context.rpc.advise(instance, question),
    options: {
      endedJobKeepMs: settings.jobs.keepEndedS * 1_000,
    },
    signal,
  });
}

/**
 * Announces to all instances that this one owns a domain, so that calls which
 * wait for the previous owner move to this one immediately.
 */
function broadcastOwnership(
  { clock, directory, ending, instances, rpc, self }: EntryContextParts,
  partition: number,
  epoch: number,
): void {
  directory.recordOwner(partition, self, epoch);
  const known = new Set([...instances.addresses(), ...instances.stopping()]);
  known.delete(self);
  announceOwnership({
    clock,
    announce: (instance) => rpc.owned(instance, self, partition, epoch),
    signal: ending.signal,
  }, [...known]);
}

function createInstanceRelayServer(context: EntryContextParts): RelayServer {
  return createRelayServer({
    tasks: context.platform.tasks,
    clock: context.clock,
    logger: context.logger.part("domain"),
    counters: context.counters,
    leaseMs: leaseMsOf(context.settings),
    maxLeaseMs: context.settings.lease.maxMs,
    async report({ owner, instance = owner }, session, batch) {
      const answer = await context.rpc.relayed(owner, {
        ...batch,
        session,
        isLeaving: context.stopping.signal.aborted,
        keepsLeaseLimit: true,
        keepsFences: true,
      });
      if (answer !== undefined) context.peerContact.record(instance);
      return answer;
    },
    signal: context.ending.signal,
  });
}

function leaseMsOf(settings: Settings): number {
  return Math.min(settings.lease.maxMs, MAX_LEASE_MS);
}

function createEntryHttpClient(
  options: Pick<
    HttpClientOptions,
    "connectionsPerOrigin" | "requestsAfterTimeout"
  >,
): HttpClient {
  return createHttpClient({
    ...options,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
}
