/**
 * Goes on with durable work whose home is gone. Of several instances that try
 * to adopt a request, the log lets one win.
 *
 * @module
 */
import {
  type Holder,
  holderOf,
  isSettled,
  membersOf,
  memberState,
  rendezvousOrder,
} from "../membership/mod.ts";
import {
  type AcceptedRequest,
  acceptedRequests,
  adoptionOf,
  endedOf,
} from "../log_state/mod.ts";
import type { Request } from "../model/mod.ts";
import { commit, commitInBackground } from "./appends.ts";
import type { Flow } from "./flow.ts";
import { type Search, searchPeers, zonesInReach } from "./search.ts";
import { awayAt } from "./recovery_flow.ts";
import { homeOf } from "./report_flow.ts";
import { splitRequestId } from "./request_ids.ts";
import { enterRequest, enterTask } from "./requests.ts";
import { queueTasks, resolveLostRun } from "./task_queue.ts";
import { endTask } from "./task_end.ts";
import { applyRecord } from "./task_record.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { LOG_TOPIC } from "./topics.ts";
import { sleep, waitForNotice } from "./waits.ts";

/** How often work to adopt is looked for. */
const ADOPTION_INTERVAL_MS = 1_000;
/** How long an adoption waits for the log. */
const ADOPTION_TIMEOUT_MS = 5_000;

/** Adopts durable work whose home is settled, for as long as it runs. */
export function* adoptRequests(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(ADOPTION_INTERVAL_MS);
    if (scheduler.draining || !scheduler.logReachable) continue;
    appendCopies(scheduler);
    for (const accepted of [...acceptedRequests(scheduler.log)]) {
      const duty = dutyTo(scheduler, accepted);
      if (duty === "none") continue;
      const isNew = duty === "adopt";
      const lost = isNew ? homeOf(scheduler, accepted.request.id) : undefined;
      if (isNew && !(yield* claimAdoption(scheduler, accepted))) continue;
      yield* takeUp(scheduler, accepted.request, lost);
    }
  }
}

/** Puts the copies that were kept for peers into the log, which is back. */
function appendCopies(scheduler: Scheduler): void {
  const { log } = scheduler;
  for (const [id, copy] of scheduler.copies) {
    if (log.requests.has(id) || log.ended.has(id)) {
      scheduler.copies.delete(id);
      continue;
    }
    if (copy.isAppending) continue;
    copy.isAppending = true;
    const { request } = copy;
    commitInBackground(scheduler, { kind: "accepted", request });
  }
}

/** What this instance has to do about a durable request. */
type AdoptionDuty =
  /** Nothing: its home is well, or another instance adopts it. */
  | "none"
  /** Win the adoption in the log first. */
  | "adopt"
  /** The adoption is won; the tasks were not looked for yet. */
  | "resume";

function dutyTo(
  scheduler: Scheduler,
  accepted: AcceptedRequest,
): AdoptionDuty {
  const { request, holder: adopter } = accepted;
  const { zone } = splitRequestId(request.id).home;
  if (zone !== scheduler.self.zone) return "none";
  const home = homeOf(scheduler, request.id);
  if (home === selfHolder(scheduler)) {
    const isOpen = !scheduler.requests.has(request.id);
    return adopter !== undefined && isOpen ? "resume" : "none";
  }
  const state = memberState(scheduler.membership, home);
  if (state === "live" || state === "leaving") return "none";
  const zones = zonesInReach(scheduler);
  if (!isSettled(scheduler.membership, home, zones)) return "none";
  const members = membersOf(scheduler.membership, zone);
  const first = rendezvousOrder(members, request.id)[0];
  const isFirst = first !== undefined &&
    holderOf(first) === selfHolder(scheduler);
  return isFirst ? "adopt" : "none";
}

/** Tries to become the home of a request; of several, the log lets one win. */
function* claimAdoption(
  scheduler: Scheduler,
  accepted: AcceptedRequest,
): Flow<boolean> {
  const holder = selfHolder(scheduler);
  const requestId = accepted.request.id;
  const epoch = accepted.epoch + 1;
  const record = { kind: "adopted", requestId, epoch, holder } as const;
  if (!(yield* commit(scheduler, record, ADOPTION_TIMEOUT_MS))) return false;
  yield* waitForNotice(LOG_TOPIC, ADOPTION_TIMEOUT_MS);
  return adoptionOf(scheduler.log, requestId)?.holder === holder;
}

/** Takes up a request that this instance adopted: finds or queues its tasks. */
function* takeUp(
  scheduler: Scheduler,
  request: Request,
  lost: Holder | undefined,
): Flow<void> {
  const holder = selfHolder(scheduler);
  const search = yield* searchPeers(scheduler, lost, request.id, []);
  if (!search.complete || holder !== selfHolder(scheduler)) return;
  if (endedOf(scheduler.log, request.id) !== undefined) return;
  if (homeOf(scheduler, request.id) !== holder) return;
  const known = scheduler.requests.get(request.id);
  if (known?.role === "home") return;
  note(scheduler, "request.adopted", request.id);
  const entry = enterRequest(
    scheduler,
    request,
    request.tasks,
    "home",
    holder,
    "log",
  );
  entry.moveEpoch = search.moveEpoch;
  enterSuccessors(entry, search);
  endKnown(scheduler, entry);
  const unstarted: TaskEntry[] = [];
  for (const task of entry.tasks.values()) {
    if (task.progress.kind === "ended") continue;
    if (!takeSighting(scheduler, entry, task, search)) unstarted.push(task);
  }
  if (search.witnessedSinceMs < request.acceptedAtMs) {
    queueTasks(scheduler, entry, unstarted);
    return;
  }
  for (const task of unstarted) {
    resolveLostRun(scheduler, entry, task, "that left the list");
  }
}

/** Enters replicas that the lost home started in place of others. */
function enterSuccessors(entry: RequestEntry, search: Search): void {
  for (const sighting of search.sightings.values()) {
    if (sighting.kind !== "record") continue;
    const { task } = sighting.record;
    if (!entry.tasks.has(task.index)) enterTask(entry, task);
  }
}

/** Ends the tasks whose outcome the log has. */
function endKnown(scheduler: Scheduler, entry: RequestEntry): void {
  const accepted = scheduler.log.requests.get(entry.request.id);
  for (const outcome of accepted?.ended ?? []) {
    const task = entry.tasks.get(outcome.index);
    if (task !== undefined) endTask(scheduler, entry, task, outcome);
  }
}

/** Follows a task that some instance or worker of the zone knows. */
function takeSighting(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  search: Search,
): boolean {
  const sighting = search.sightings.get(task.task.id);
  if (sighting?.kind === "record") {
    const { attempt } = sighting.record.task;
    task.task = { ...task.task, attempt };
    task.progress = awayAt(scheduler, sighting);
    applyRecord(scheduler, sighting);
    return true;
  }
  if (sighting?.kind === "ended" && sighting.outcome.kind !== "lost") {
    endTask(scheduler, entry, task, sighting.outcome);
    return true;
  }
  const guest = search.queuedAt.get(task.task.id);
  if (guest === undefined) return false;
  task.progress = { kind: "moved", guest: guest.holder };
  task.moveEpoch = guest.epoch;
  return true;
}
