/**
 * Hands unstarted tasks to a peer that has room for them.
 *
 * @module
 */
import { hash32 } from "../base/mod.ts";
import { noteFirstAttempt } from "../limits/mod.ts";
import { holderOf, loadOf, memberOf, membersOf } from "../membership/mod.ts";
import {
  addResources,
  fitsInto,
  type Instance,
  NO_RESOURCES,
} from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import { acceptanceSchema, type PeerMessage } from "./peer_message.ts";
import { applyPlacement } from "./placement_driver.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { findTask } from "./requests.ts";
import { requeueUnstarted } from "./task_queue.ts";
import { zonesInReach } from "./search.ts";
import { waitToRetry } from "./retry.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { callPeer } from "./waits.ts";

/** The shortest time between two moves of one request. */
const MOVE_INTERVAL_MS = 1_000;
/** Time-out of one move. */
const MOVE_TIMEOUT_MS = 1_500;

/**
 * Moves queued tasks of one request to a peer that has room for them. The
 * tasks stay ours to answer for. A guest hands them back to their home.
 */
export function* moveTasks(
  scheduler: Scheduler,
  requestId: string,
  taskIds: string[],
): Flow<void> {
  const entry = scheduler.requests.get(requestId);
  if (entry === undefined) return;
  if (entry.role === "guest") {
    returnTasks(scheduler, entry, taskIds);
    return;
  }
  if (entry.home !== selfHolder(scheduler)) return;
  const { steadyMs } = scheduler.moment;
  if (steadyMs - (entry.movedAtMs ?? 0) < MOVE_INTERVAL_MS) return;
  const tasks = taskIds.flatMap((taskId) => {
    const found = findTask(scheduler, taskId);
    return found !== undefined && isMovable(found.task) ? [found.task] : [];
  });
  if (tasks.length === 0) return;
  const guest = chooseGuest(scheduler, tasks);
  if (guest === undefined) return;
  const holder = holderOf(guest);
  entry.movedAtMs = steadyMs;
  entry.moveEpoch++;
  applyPlacement(scheduler, {
    kind: "withdrawn",
    taskIds: tasks.map((task) => task.task.id),
  });
  for (const task of tasks) {
    task.progress = { kind: "moved", guest: holder };
    task.moveEpoch = entry.moveEpoch;
  }
  note(scheduler, "request.moved", requestId, guest.id);
  const { moveEpoch } = entry;
  const accepted = yield* offerTasks(scheduler, entry, tasks, guest);
  if (accepted) return;
  for (const task of tasks) {
    const { progress } = task;
    if (task.moveEpoch !== moveEpoch) continue;
    if (progress.kind !== "moved" || progress.guest !== holder) continue;
    requeueUnstarted(scheduler, entry, task);
  }
}

/**
 * Sends the move until the peer answers or is gone.
 *
 * @returns false only if the peer surely does not have the tasks
 */
function* offerTasks(
  scheduler: Scheduler,
  entry: RequestEntry,
  tasks: TaskEntry[],
  guest: Instance,
): Flow<boolean> {
  const message: PeerMessage = {
    kind: "move",
    from: selfHolder(scheduler),
    to: holderOf(guest),
    home: entry.home,
    epoch: entry.moveEpoch,
    request: { ...entry.request, tasks: [] },
    tasks: tasks.map((task) => task.task),
  };
  noteFirstAttempt(scheduler.retryBudget);
  for (let retry = 1; isReachable(scheduler, guest); retry++) {
    const result = yield* callPeer(
      guest.url,
      message,
      acceptanceSchema,
      MOVE_TIMEOUT_MS,
    );
    // A peer that refuses a move refuses every copy of it that comes later.
    if (result.isOk() && !result.value.stranger) return result.value.accepted;
    yield* waitToRetry(scheduler, retry);
  }
  // The recovery of moved tasks finds out what the lost peer did with them.
  return true;
}

function isReachable(scheduler: Scheduler, guest: Instance): boolean {
  return memberOf(scheduler.membership, holderOf(guest)) !== undefined;
}

/** Hands tasks that found no room back to their home, which may move them. */
function returnTasks(
  scheduler: Scheduler,
  entry: RequestEntry,
  taskIds: string[],
): void {
  for (const taskId of taskIds) {
    const found = findTask(scheduler, taskId);
    if (found === undefined || !isMovable(found.task)) continue;
    applyPlacement(scheduler, { kind: "withdrawn", taskIds: [taskId] });
    requeueUnstarted(scheduler, entry, found.task);
  }
}

function isMovable(task: TaskEntry): boolean {
  return task.progress.kind === "queued" && task.startedOn === undefined;
}

/** Prefers a peer of the zone, then of the region, then any other. */
function chooseGuest(
  scheduler: Scheduler,
  tasks: TaskEntry[],
): Instance | undefined {
  const { self } = scheduler;
  const peers = zonesInReach(scheduler)
    .flatMap((zone) => membersOf(scheduler.membership, zone));
  const near = peers.filter((peer) => peer.zone === self.zone);
  const regional = peers.filter((peer) =>
    peer.zone !== self.zone && peer.region === self.region
  );
  const remote = peers.filter((peer) => peer.region !== self.region);
  return roomiest(scheduler, near, tasks) ??
    roomiest(scheduler, regional, tasks) ??
    roomiest(scheduler, remote, tasks);
}

function roomiest(
  scheduler: Scheduler,
  peers: Instance[],
  tasks: TaskEntry[],
): Instance | undefined {
  const self = selfHolder(scheduler);
  const demand = tasks.reduce(
    (sum, task) => addResources(sum, task.task.demand),
    NO_RESOURCES,
  );
  let best: Instance | undefined;
  let bestRank = -1;
  for (const peer of peers) {
    if (holderOf(peer) === self) continue;
    const load = loadOf(scheduler.membership, holderOf(peer));
    if (load === undefined) continue;
    if (load.queued > 0 && !scheduler.draining) continue;
    if (!fitsInto(demand, load.free) && !scheduler.draining) continue;
    const rank = load.free.cpuMillis + hash32(peer.id) / 2 ** 32;
    if (rank <= bestRank) continue;
    best = peer;
    bestRank = rank;
  }
  return best;
}
