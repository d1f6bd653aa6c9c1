/**
 * Hands unstarted tasks to a peer of the zone that has room for them.
 *
 * @module
 */
import { hash32 } from "../base/mod.ts";
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
import { findTask, requeueUnstarted } from "./requests.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { callPeer, sleep } from "./waits.ts";

/** Time-out of one move. */
const MOVE_TIMEOUT_MS = 1_500;
/** Delay before a move whose effect is unknown is sent again. */
const MOVE_RETRY_MS = 500;

/**
 * Moves queued tasks of one request to the peer of the zone that has the most
 * room, if one has enough. The tasks stay ours to answer for.
 */
export function* moveTasks(
  scheduler: Scheduler,
  requestId: string,
  taskIds: string[],
): Flow<void> {
  const entry = scheduler.requests.get(requestId);
  if (entry === undefined || entry.role !== "home") return;
  if (entry.home !== selfHolder(scheduler)) return;
  const tasks = taskIds.flatMap((taskId) => {
    const found = findTask(scheduler, taskId);
    return found !== undefined && isMovable(found.task) ? [found.task] : [];
  });
  if (tasks.length === 0) return;
  const guest = chooseGuest(scheduler, tasks);
  if (guest === undefined) return;
  const holder = holderOf(guest);
  applyPlacement(scheduler, {
    kind: "withdrawn",
    taskIds: tasks.map((task) => task.task.id),
  });
  for (const task of tasks) task.progress = { kind: "moved", guest: holder };
  note(scheduler, "request.moved", requestId, guest.id);
  const accepted = yield* offerTasks(scheduler, entry, tasks, guest);
  if (accepted) return;
  for (const task of tasks) {
    const { progress } = task;
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
    home: entry.home,
    request: { ...entry.request, tasks: [] },
    tasks: tasks.map((task) => task.task),
  };
  let mayHaveArrived = false;
  while (memberOf(scheduler.membership, holderOf(guest)) !== undefined) {
    const result = yield* callPeer(
      guest.url,
      message,
      acceptanceSchema,
      MOVE_TIMEOUT_MS,
    );
    if (result.isOk()) return result.value.accepted || mayHaveArrived;
    if (result.error.kind === "unknown") mayHaveArrived = true;
    if (result.error.kind !== "unknown" && !mayHaveArrived) return false;
    yield* sleep(MOVE_RETRY_MS);
  }
  // The recovery of moved tasks finds out what the lost peer did with them.
  return true;
}

function isMovable(task: TaskEntry): boolean {
  return task.progress.kind === "queued" && task.startedOn === undefined;
}

function chooseGuest(
  scheduler: Scheduler,
  tasks: TaskEntry[],
): Instance | undefined {
  const self = selfHolder(scheduler);
  const demand = tasks.reduce(
    (sum, task) => addResources(sum, task.task.demand),
    NO_RESOURCES,
  );
  let best: Instance | undefined;
  let bestRank = -1;
  for (const peer of membersOf(scheduler.membership, scheduler.self.zone)) {
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
