import type { OwnerEntry } from "../domain/mod.ts";
import type {
  Advice,
  AdviceQuestion,
  Clock,
  Partition,
  StoreHost,
  TaskHost,
} from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import type { Instant } from "./instant.ts";
import type { RelayCall, RelayPeer, RelayReportRouter } from "./relay/mod.ts";
import type { WorkerList } from "./worker_list.ts";

/** What the owner of a domain needs. */
export type DomainOwnerHost = {
  store: StoreHost;
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  list: WorkerList;
  partition: Partition;
  epoch: number;
  /** Sequence number of the next append. */
  sequence: number;
  leaseMs: number;
  /** Address of this instance. */
  self: string;
  /** Whether an earlier owner surely grants no lease any more. */
  hasEnded(owner: OwnerEntry, partition: number): Promise<boolean>;
  /** How long leases are granted without word from the store, in ms. */
  trustMs: number;
  /** When the membership was last applied for with success. */
  confirmedAt(): Instant;
  /** Whether a service belongs to the domain. */
  servesDomain(service: string): boolean;
  instances(): string[];
  /** The instances that may hold links to workers. */
  relayPeers(): RelayPeer[];
  relaySessions: RelayReportRouter;
  /** Names a relay session; no other has the same name. */
  newSession(): string;
  /** Sends a batch to a relay; undefined where no answer came. */
  postToRelay(
    relay: string,
    call: RelayCall,
  ): Promise<"taken" | "closed" | undefined>;
  askThrough(
    instance: string,
    question: AdviceQuestion,
  ): Promise<Advice | undefined>;
  /** A successor exists, so the ownership has ended. */
  onFenced(cause: string): void;
  /** The state in this process is of no use; the store has the truth. */
  onFailed(cause: string): void;
  signal: AbortSignal;
};
