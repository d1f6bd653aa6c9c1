import type {
  Domain,
  DomainCommand,
  DomainEvent,
  Moment,
} from "../domain/mod.ts";
import type { Advisor } from "./advisor.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import type { DomainWriter } from "./domain_writer.ts";
import type { EventSource } from "./event_source.ts";
import type { OwnerAnswer } from "./owner_answer.ts";
import type { RelayedLinks } from "./relay/mod.ts";
import type { UncommittedJobs } from "./uncommitted_jobs.ts";
import type { WorkerLink } from "./worker_link.ts";

/** The link to a worker, held here or by a relay. */
export type OwnerLink = {
  link: WorkerLink;
  /** Whether this instance holds it. */
  isDirect: boolean;
  controller: AbortController;
  /** What has been acknowledged of which incarnation. */
  bornMs: number;
  acknowledged: number;
};

/** What the owner of a domain keeps beside the domain itself. */
export type OwnerState = {
  host: DomainOwnerHost;
  domain: Domain;
  events: EventSource<DomainEvent>;
  links: Map<string, OwnerLink>;
  /** Links that other instances hold. */
  relayedLinks: RelayedLinks;
  /** Orders and answers that wait for the next commit. */
  pendingCommands: DomainCommand[];
  writer: DomainWriter;
  advisor: Advisor;
  pendingCalls: Map<number, (answer: OwnerAnswer) => void>;
  /** The numbers of calls that change nothing. */
  pendingReads: Set<number>;
  nextCallNumber: number;
  uncommittedJobs: UncommittedJobs;
  /** When every lease of earlier owners has lapsed, on the steady clock. */
  earlierLeasesExpireAtMs: number;
  isPassScheduled: boolean;
  nextPassAtMs: number;
};

/** The present time, for the reducer. */
export function currentMoment(state: OwnerState): Moment {
  const { clock } = state.host;
  return { steadyMs: clock.steadyMs(), wallMs: clock.nowMs() };
}

/** Hands an event to the reducer, unless the ownership has ended. */
export function emit(state: OwnerState, event: DomainEvent): void {
  if (!state.host.signal.aborted) state.events.emit(event);
}
