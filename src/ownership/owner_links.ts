/**
 * The links of an owner to the workers of its domain.
 *
 * @module
 */
import { assertNever, createChildController } from "../base/mod.ts";
import type { Domain, WorkerListing, WorkerOrder } from "../domain/mod.ts";
import { elapsedMs } from "./instant.ts";
import { longestLeaseMs } from "./lease_time.ts";
import { emit, type OwnerState } from "./owner_state.ts";
import { RELAY_GRANT_MS } from "./relay/mod.ts";
import { openWorkerLink } from "./worker_link.ts";

/** Brings the links up to the list of workers. */
export function takeList(state: OwnerState): void {
  const { host, domain, links } = state;
  const workers = host.list.workers().filter((worker) =>
    host.servesDomain(worker.service)
  );
  emit(state, { kind: "workersListed", workers });
  for (const worker of workers) {
    const known = links.get(worker.id);
    if (known?.link.address === worker.address) continue;
    known?.ending.abort();
    openLink(state, worker);
  }
  const listed = new Set(workers.map(({ id }) => id));
  for (const [id, worker] of domain.workers) {
    const hasEnded = !listed.has(id) && host.list.hasLeft(id);
    if (!hasEnded || worker.placed.size === 0) continue;
    host.logger.info("A worker ended with tasks on it.", {
      worker: id,
      tasks: worker.placed.size,
    });
    emit(state, { kind: "workerLapsed", worker: id });
  }
  for (const [id, { ending }] of links) {
    // A worker that left the list may still run what it was given.
    const isIdle = (domain.workers.get(id)?.placed.size ?? 0) === 0;
    if (listed.has(id) || !isIdle) continue;
    ending.abort();
    links.delete(id);
  }
}

/** Domains with more workers than this have relays hold their links. */
const MOST_DIRECT_LINKS = 64;
/** How many links are moved to relays at a time. */
const MOST_MOVES = 16;

/** Hands an order to the link of its worker, if it still holds. */
export function sendOrder(state: OwnerState, order: WorkerOrder): void {
  if (!isCurrent(state.domain, order)) return;
  state.links.get(order.worker)?.link.order(order);
}

/** Lets a worker forget ends, since they are in the store. */
export function acknowledge(
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
 * Moves some of the links that this instance holds to relays, as they become
 * known. A link over which a start is on its way stays.
 */
export function spreadLinks(state: OwnerState): void {
  const { host, domain, links, relayed } = state;
  if (!hasMany(state)) return;
  const movable: string[] = [];
  const zones = new Map<string, boolean>();
  for (const { id, zone } of host.list.workers()) {
    if (movable.length === MOST_MOVES) break;
    if (links.get(id)?.isDirect !== true) continue;
    const canMove = zones.get(zone) ?? relayed.hasRelay(zone);
    zones.set(zone, canMove);
    if (canMove && !hasStart(domain, id)) movable.push(id);
  }
  reopenLinks(state, movable);
}

function hasStart(domain: Domain, id: string): boolean {
  const refs = domain.workers.get(id)?.placed.values() ?? [];
  return [...refs].some(({ run, index }) => {
    const task = run.tasks[index];
    return task?.kind === "placed" && task.phase.kind === "starting";
  });
}

/** Whether there are too many workers to hold all links here. */
function hasMany({ host }: OwnerState): boolean {
  return host.list.workers().length > MOST_DIRECT_LINKS;
}

/** Opens links anew whose relay is gone. */
export function reopenLinks(state: OwnerState, workers: string[]): void {
  const listings = new Map(
    state.host.list.workers().map((listing) => [listing.id, listing]),
  );
  for (const id of workers) {
    const open = state.links.get(id);
    if (open === undefined) continue;
    open.ending.abort();
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
  const { host, domain, links, relayed } = state;
  const before = links.get(worker.id);
  const known = {
    bornMs: before?.bornMs ?? 0,
    acknowledged: before?.acknowledged ?? 0,
  };
  const target = { id: worker.id, address: worker.address, epoch: host.epoch };
  // An earlier link may have granted a lease just now.
  const floorMs = before === undefined
    ? 0
    : longestLeaseMs(host.leaseMs + RELAY_GRANT_MS);
  const floorAtMs = host.clock.steadyMs() + floorMs;
  const ending = createChildController(host.signal);
  const start = { target, zone: worker.zone, floorMs, ...known };
  const held = hasMany(state) ? relayed.open(start, ending.signal) : undefined;
  const link = held ?? openWorkerLink({
    ...host,
    target,
    known,
    stampMs: host.clock.steadyMs,
    earlierLeasesLapsedAtMs: () =>
      Math.max(state.earlierLeasesLapsedAtMs, floorAtMs),
    mayGrant: () => grantMs(state) > 0,
    emit: (event) => emit(state, event),
    isCurrent: (order) => isCurrent(domain, order),
    signal: ending.signal,
  });
  const isDirect = held === undefined;
  links.set(worker.id, { link, isDirect, ending, ...known });
}

/**
 * For how long leases may still be granted, in milliseconds: a time after the
 * ownership was last confirmed.
 */
export function grantMs(state: OwnerState): number {
  const { host, writer } = state;
  const confirmedAgoMs = Math.min(
    elapsedMs(host.clock, host.confirmedAt()),
    elapsedMs(host.clock, writer.confirmedAt()),
  );
  return host.trustMs - confirmedAgoMs;
}

/** Whether an order to a worker still holds. */
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

/** Workers that only the records know run nothing once leases have lapsed. */
export function lapseUnlisted(state: OwnerState): void {
  const { host, domain, links } = state;
  if (host.clock.steadyMs() < state.earlierLeasesLapsedAtMs) return;
  for (const [id, worker] of domain.workers) {
    if (links.has(id) || worker.placed.size === 0) continue;
    emit(state, { kind: "workerLapsed", worker: id });
  }
}
