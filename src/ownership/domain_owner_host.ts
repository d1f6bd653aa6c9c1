import type { OwnerEntry } from "../domain/mod.ts";
import type {
  Advice,
  AdviceRequest,
  Clock,
  Partition,
  StoreHost,
  TaskHost,
} from "../hosts/mod.ts";
import type { ClientAccount } from "../model/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import type { Instant } from "./instant.ts";
import type { RelayCall, RelayPeer, RelayReportRouter } from "./relay/mod.ts";
import type { WorkerList } from "./worker_list.ts";

/** Dependencies of a domain's owner. */
export type DomainOwnerHost = {
  store: StoreHost;
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  workerList: WorkerList;
  partition: Partition;
  epoch: number;
  /** Sequence number of the next append. */
  sequence: number;
  /** When the append that raised the epoch was first sent. */
  epochRaisedAt: Instant;
  /** Duration of the leases that workers get, in milliseconds. */
  leaseMs: number;
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs: number;
  /** Address of this instance. */
  self: string;
  /** Whether an earlier owner is known to grant no more leases. */
  hasStoppedGranting(owner: OwnerEntry, partition: number): Promise<boolean>;
  /**
   * How long after the last confirmation of the ownership by the store leases
   * may be granted, in milliseconds.
   */
  ownershipValidMs: number;
  /** When the latest successful membership confirmation was sent. */
  confirmedAt(): Instant;
  /** The client accounts in force; undefined before a configuration is known. */
  clientAccounts(): ClientAccount[] | undefined;
  /**
   * How long ago the configuration was certainly the newest one, in
   * milliseconds.
   */
  configurationAgeMs(): number;
  /** Nothing under a cap is started on an older configuration, in ms. */
  maxConfigurationAgeMs: number;
  /** The partitions of the domains that are in use. */
  partitionsInUse(): Set<number>;
  /** Whether a service belongs to the domain. */
  servesDomain(service: string): boolean;
  /** Addresses of the entry instances that can forward advice requests. */
  instances(): string[];
  /** The instances that may act as relays. */
  relayPeers(): RelayPeer[];
  /** Address of this instance that relays report to. */
  reportAddress: string;
  relaySessions: RelayReportRouter;
  /** Creates a unique name for a relay session. */
  newSession(): string;
  /** Sends a batch to a relay; undefined if it does not answer. */
  postToRelay(
    relay: string,
    call: RelayCall,
  ): Promise<"taken" | "closed" | undefined>;
  /** Sends an advice request through an instance; undefined on failure. */
  requestAdvice(
    instance: string,
    request: AdviceRequest,
  ): Promise<Advice | undefined>;
  /** Called when a successor has ended the ownership. */
  onFenced(cause: string): void;
  /** Called when the state in memory is unusable and has to be restored. */
  onFailed(cause: string): void;
  signal: AbortSignal;
};
