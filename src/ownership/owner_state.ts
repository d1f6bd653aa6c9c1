import type {
  Domain,
  DomainCommand,
  DomainEvent,
  EndedRun,
  Moment,
} from "../domain/mod.ts";
import type { AccountLabels } from "./account_labels.ts";
import type { Advisor } from "./advisor.ts";
import type { AllotmentKeeper } from "./allotments/mod.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import type { DomainWriter } from "./domain_writer.ts";
import type { EventSource } from "./event_source.ts";
import type { Incarnations } from "./incarnations.ts";
import type { OwnerAnswer } from "./owner_answer.ts";
import type { RelayedLinks } from "./relay/mod.ts";
import type { UncommittedJobs } from "./uncommitted_jobs.ts";
import type { UnstoredJobs } from "./unstored_jobs.ts";
import type { WorkerContact } from "./worker_contact.ts";
import type { WorkerLink } from "./worker_link.ts";

/** The link to a worker, held by this instance or by a relay. */
export type OwnerLink = {
  link: WorkerLink;
  /** Whether this instance holds it. */
  isDirect: boolean;
  controller: AbortController;
  /** The last acknowledged run end, and the incarnation it belongs to. */
  bornMs: number;
  acknowledged: number;
};

/** The state of a domain's owner, apart from the domain itself. */
export type OwnerState = {
  host: DomainOwnerHost;
  /** When the ownership began, on the steady clock. */
  startedAtMs: number;
  domain: Domain;
  events: EventSource<DomainEvent>;
  links: Map<string, OwnerLink>;
  /** Links that relays hold. */
  relayedLinks: RelayedLinks;
  contact: WorkerContact;
  incarnations: Incarnations;
  /** Number of start permits in the records that the domain was restored from. */
  restoredPermits: number;
  /** Orders, answers and acknowledgements that wait for the next commit. */
  pendingCommands: DomainCommand[];
  writer: DomainWriter;
  advisor: Advisor;
  allotments: AllotmentKeeper;
  pendingCalls: Map<number, (answer: OwnerAnswer) => void>;
  /** The jobs that pending calls change, by the number of the call. */
  callJobs: Map<number, string>;
  /** The run ends that each worker listed last. */
  listedEnds: Map<string, EndedRun[]>;
  /** The numbers of pending calls that change nothing. */
  pendingReads: Set<number>;
  /** The jobs whose end pending reads wait for, by the number of the call. */
  outcomeReads: Map<number, string>;
  nextCallNumber: number;
  uncommittedJobs: UncommittedJobs;
  unstoredJobs: UnstoredJobs;
  /** When all leases of earlier owners have expired, on the steady clock. */
  earlierLeasesExpireAtMs: number;
  /** Labels of client accounts in metrics. */
  accountLabels: AccountLabels;
  isPassScheduled: boolean;
  nextPassAtMs: number;
};

/** The current time, for the reducer. */
export function currentMoment(state: OwnerState): Moment {
  const { clock } = state.host;
  return { steadyMs: clock.steadyMs(), wallMs: clock.nowMs() };
}

/** Passes an event to the reducer, unless the ownership has ended. */
export function emit(state: OwnerState, event: DomainEvent): void {
  if (state.host.signal.aborted) return;
  if (event.kind === "looked") {
    const { bornMs, sentAtMs } = event.look;
    state.contact.record(event.worker, bornMs, sentAtMs);
    state.incarnations.record(event.worker, bornMs);
    if (event.look.ended.length === 0) state.listedEnds.delete(event.worker);
    else state.listedEnds.set(event.worker, event.look.ended);
  }
  state.events.emit(event);
}
