import type { OwnerEntry } from "../domain/mod.ts";
import type {
  Advice,
  AdviceRequest,
  Clock,
  Partition,
  StoreHost,
  TaskHost,
} from "../hosts/mod.ts";
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
