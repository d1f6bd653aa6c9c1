/**
 * The links of an owner to the workers of its domain.
 *
 * @module
 */
import { assertNever, createChildController } from "../base/mod.ts";
import type {
  Domain,
  DomainWorker,
  WorkerListing,
  WorkerOrder,
} from "../domain/mod.ts";
import { firstFence } from "./fence.ts";
import { mayHoldEarlierLease } from "./incarnations.ts";
import { elapsedMs } from "./instant.ts";
import {
  CONFIRMED_LEASE_MS,
  maxLeaseDurationMs,
  UNWITNESSED_GRANT_MS,
  WITNESSED_LEASE_MS,
} from "./lease_time.ts";
import { emit, type OwnerState } from "./owner_state.ts";
import { RELAY_GRANT_MS } from "./relay/mod.ts";
import { openWorkerLink } from "./worker_link.ts";

/** Opens and closes links to match the list of workers. */
export function reconcileLinks(state: OwnerState): void {
  const { host, domain, links } = state;
  const workers = host.workerList.workers().filter((worker) =>
    host.servesDomain(worker.service)
  );
  emit(state, { kind: "workersListed", workers });
  for (const worker of workers) {
    const known = links.get(worker.id);
    if (known === undefined) openLink(state, worker);
    else if (known.link.address !== worker.address) {
      reopenLinks(state, [worker.id]);
    }
  }
  const listed = new Set(workers.map(({ id }) => id));
  for (const [id, worker] of domain.workers) {
    const hasShutDown = !listed.has(id) && host.workerList.hasLeft(id);
    if (!hasShutDown || !mayHoldTasks(domain, worker)) continue;
    host.logger.info("A worker shut down with tasks assigned to it.", {
      worker: id,
      tasks: worker.placed.size,
    });
    emit(state, { kind: "workerLapsed", worker: id });
  }
  for (const [id, { controller }] of links) {
    // A worker that was removed from the list may still run its tasks.
    const worker = domain.workers.get(id);
    const isIdle = worker === undefined || !mayHoldTasks(domain, worker);
    if (listed.has(id) || !isIdle) continue;
    controller.abort();
    links.delete(id);
  }
}

/** Whether a worker has tasks, or an earlier owner may have started some. */
function mayHoldTasks(domain: Domain, worker: DomainWorker): boolean {
  return worker.placed.size > 0 || domain.unsettledWorkers.has(worker.id);
}

/** Time until a worker is polled although its ends are not stored, in ms. */
const UNACKNOWLEDGED_POLL_DELAY_MS = 80;
/** The links of domains with more workers than this are held by relays. */
const MAX_DIRECT_LINKS = 64;
/** The most links that are moved to relays at a time. */
const MAX_LINK_MOVES = 16;

/** Sends an order over the link of its worker, if it still applies. */
export function sendOrder(state: OwnerState, order: WorkerOrder): void {
  if (!isCurrent(state.domain, order)) return;
  state.links.get(order.worker)?.link.order(order);
}

/** Acknowledges stored run ends, so that the worker can discard them. */
export function acknowledgeEnds(
  state: OwnerState,
  ends: { worker: string; bornMs: number; lastEnd: number },
): void {
  const open = state.links.get(ends.worker);
  if (open === undefined) return;
  open.bornMs = ends.bornMs;
  open.acknowledged = ends.lastEnd;
  open.link.acknowledge(ends.bornMs, ends.lastEnd);
}

/**
 * Moves some of the links that this instance holds to relays, once relays are
 * available. A link with a start in flight is not moved.
 */
export function moveLinksToRelays(state: OwnerState): void {
  const { host, domain, links, relayedLinks } = state;
  if (!exceedsDirectLinks(state)) return;
  const movable: string[] = [];
  const zones = new Map<string, boolean>();
  for (const { id, zone } of host.workerList.workers()) {
    if (movable.length === MAX_LINK_MOVES) break;
    if (links.get(id)?.isDirect !== true) continue;
    const canMove = zones.get(zone) ?? relayedLinks.hasRelay(zone);
    zones.set(zone, canMove);
    if (canMove && !hasStartInFlight(domain, id)) movable.push(id);
  }
  reopenLinks(state, movable);
}

function hasStartInFlight(domain: Domain, id: string): boolean {
  const refs = domain.workers.get(id)?.placed.values() ?? [];
  return [...refs].some(({ run, index }) => {
    const task = run.tasks[index];
    return task?.kind === "placed" && task.phase.kind === "starting";
  });
}

/** Whether there are too many workers to hold all links directly. */
function exceedsDirectLinks({ host }: OwnerState): boolean {
  return host.workerList.workers().length > MAX_DIRECT_LINKS;
}

/** Closes links, such as those of a lost relay, and opens them again. */
export function reopenLinks(state: OwnerState, workers: string[]): void {
  const listings = new Map(
    state.host.workerList.workers().map((listing) => [listing.id, listing]),
  );
  for (const id of workers) {
    const open = state.links.get(id);
    if (open === undefined) continue;
    open.controller.abort();
    emit(state, { kind: "linkReopened", worker: id });
    const listing = listings.get(id) ?? {
      id,
      address: open.link.address,
      zone: "",
    };
    openLink(state, listing);
  }
}

function openLink(
  state: OwnerState,
  worker: Pick<WorkerListing, "id" | "address" | "zone">,
): void {
  const { host, domain, links, relayedLinks } = state;
  const previous = links.get(worker.id);
  const resumeFrom = {
    bornMs: previous?.bornMs ?? 0,
    acknowledged: previous?.acknowledged ?? 0,
  };
  const ownedForMs = host.clock.steadyMs() - state.startedAtMs;
  const fence = firstFence(host.epoch, ownedForMs);
  const target = { id: worker.id, address: worker.address, fence };
  // The previous link may have granted a lease just now, and what it knew of
  // starts that a later incarnation may run is lost with it.
  const floorMs = previous === undefined
    ? 0
    : maxLeaseDurationMs(host.maxLeaseMs + RELAY_GRANT_MS);
  const previousLeaseExpiresAtMs = host.clock.steadyMs() + floorMs;
  const { incarnations } = state;
  const knownBornMs = incarnations.knownBornMs(worker.id);
  const controller = createChildController(host.signal);
  const linkOptions = {
    target,
    zone: worker.zone,
    floorMs: Math.max(
      floorMs,
      incarnations.earlierLeasesExpireAtMs(worker.id) - host.clock.steadyMs(),
    ),
    ...resumeFrom,
    ...(knownBornMs === undefined ? {} : { knownBornMs }),
  };
  const relayedLink = exceedsDirectLinks(state)
    ? relayedLinks.open(linkOptions, controller.signal)
    : undefined;
  const link = relayedLink ?? openWorkerLink({
    ...host,
    target,
    resumeFrom,
    ownerClockMs: host.clock.steadyMs,
    unacknowledgedPollDelayMs: UNACKNOWLEDGED_POLL_DELAY_MS,
    earlierLeasesExpireAtMs: () =>
      Math.max(
        earlierLeasesExpireAtMs(state, worker.id),
        previousLeaseExpiresAtMs,
      ),
    mayHoldEarlierLease: (bornMs) => mayHoldEarlierLease(bornMs, knownBornMs),
    mayGrantLeases: () => remainingGrantMs(state) > 0,
    leaseLimitMs: () => leaseLimitMs(state),
    emit: (event) => emit(state, event),
    isCurrent: (order) => isCurrent(domain, order),
    signal: controller.signal,
  });
  const isDirect = relayedLink === undefined;
  links.set(worker.id, { link, isDirect, controller, ...resumeFrom });
}

/**
 * For how long leases may still be granted, in milliseconds; 0 or less for not
 * at all. An append that succeeded shows that there was no successor when it was
 * sent, and so do answers of most workers with a start permit. The latter count
 * only for a limited time after the last confirmation of the ownership, through
 * the group membership or an append.
 */
export function remainingGrantMs(state: OwnerState): number {
  const { host, writer, contact, domain } = state;
  const appendAgeMs = elapsedMs(host.clock, writer.confirmedAt());
  const afterAppendMs = UNWITNESSED_GRANT_MS - appendAgeMs;
  if (afterAppendMs >= RELAY_GRANT_MS) return afterAppendMs;
  const confirmedAgoMs = Math.min(
    elapsedMs(host.clock, host.confirmedAt()),
    appendAgeMs,
  );
  const afterAnswersMs = Math.min(
    host.ownershipValidMs - confirmedAgoMs,
    UNWITNESSED_GRANT_MS - contact.majorityAgeMs(domain.startPermits),
  );
  return Math.max(afterAppendMs, afterAnswersMs);
}

/**
 * How far from now a lease may end at the latest, in milliseconds. A successor
 * that knows when the last answer can have been given knows when all leases have
 * expired.
 */
export function leaseLimitMs(state: OwnerState): number {
  const { host, writer, contact, domain } = state;
  const appendAgeMs = elapsedMs(host.clock, writer.confirmedAt());
  const afterAppendMs = WITNESSED_LEASE_MS - appendAgeMs;
  if (afterAppendMs >= host.leaseMs) return afterAppendMs;
  const confirmedAgoMs = Math.min(
    elapsedMs(host.clock, host.confirmedAt()),
    appendAgeMs,
  );
  const afterAnswersMs = Math.min(
    CONFIRMED_LEASE_MS - confirmedAgoMs,
    WITNESSED_LEASE_MS - contact.majorityAgeMs(domain.startPermits),
  );
  return Math.max(afterAppendMs, afterAnswersMs);
}

/**
 * When all leases of earlier owners, and those meant for former incarnations of
 * a worker, have expired there, on the steady clock.
 */
function earlierLeasesExpireAtMs(state: OwnerState, worker: string): number {
  return Math.max(
    state.earlierLeasesExpireAtMs,
    state.incarnations.earlierLeasesExpireAtMs(worker),
  );
}

/** Whether an order to a worker still applies. */
function isCurrent(domain: Domain, order: WorkerOrder): boolean {
  const ref = domain.workers.get(order.worker)?.placed.get(order.task);
  const task = ref?.run.tasks[ref.index];
  const isPlaced = task?.kind === "placed" && task.attempt === order.attempt;
  switch (order.kind) {
    case "start":
      return isPlaced && task.phase.kind === "starting";
    case "stop":
      return !isPlaced || task.phase.kind === "stopping";
    case "pace":
      return isPlaced;
    default:
      return assertNever(order);
  }
}

/**
 * Marks workers without a link as expired once the leases of earlier owners
 * have. Such workers are known only from restored records.
 */
export function expireUnlistedWorkers(state: OwnerState): void {
  const { host, domain, links } = state;
  const nowMs = host.clock.steadyMs();
  if (nowMs < state.earlierLeasesExpireAtMs) return;
  for (const [id, worker] of domain.workers) {
    if (links.has(id) || !mayHoldTasks(domain, worker)) continue;
    if (nowMs < earlierLeasesExpireAtMs(state, id)) continue;
    emit(state, { kind: "workerLapsed", worker: id });
  }
}
