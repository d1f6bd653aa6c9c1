/**
 * Finds out what became of tasks whose worker or guest this instance can no
 * longer see.
 *
 * @module
 */
import { memberOf, othersRuledOut, ownerHint } from "../membership/mod.ts";
import type { Flow } from "./flow.ts";
import { lookUpAt } from "./lookups.ts";
import { searchPeers } from "./search.ts";
import { taskIdOfSighting } from "./sightings.ts";
import type { LookupAnswer, Sighting } from "./peer_message.ts";
import { findTask, type FoundTask } from "./requests.ts";
import { endTask, endUnstarted } from "./task_end.ts";
import {
  mayRepeat,
  repeatTask,
  requeueUnstarted,
  resolveLostRun,
} from "./task_queue.ts";
import { applyRecord, seenAt } from "./task_record.ts";
import { replaceReplica } from "./replace_service.ts";
import type { Progress, RequestEntry, TaskEntry } from "./request_entry.ts";
import type { TaskOutcome } from "../model/mod.ts";
import type { Scheduler } from "./scheduler.ts";
import { resolveUnremembered } from "./unremembered.ts";
import { sleep } from "./waits.ts";

/** How often tasks that are away or moved are asked for. */
const RECOVERY_INTERVAL_MS = 500;

type Away = Extract<Progress, { kind: "away" }>;
type Moved = Extract<Progress, { kind: "moved" }>;

/** Resolves tasks that are away or moved, for as long as it runs. */
export function* recoverTasks(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(RECOVERY_INTERVAL_MS);
    const away = collectBy(scheduler, "away");
    for (const [worker, found] of away) {
      yield* resolveAway(scheduler, worker, found);
    }
    const moved = collectBy(scheduler, "moved");
    for (const [guest, found] of moved) {
      yield* resolveMoved(scheduler, guest, found);
    }
  }
}

/** Groups unresolved tasks by the worker or guest that has them. */
function collectBy(
  scheduler: Scheduler,
  kind: "away" | "moved",
): Map<string, FoundTask[]> {
  const groups = new Map<string, FoundTask[]>();
  for (const entry of scheduler.requests.values()) {
    if (entry.endedAtMs !== undefined) continue;
    for (const task of entry.tasks.values()) {
      const { progress } = task;
      if (progress.kind !== kind) continue;
      const key = progress.kind === "away" ? progress.worker : progress.guest;
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [{ entry, task }]);
      else group.push({ entry, task });
    }
  }
  return groups;
}

function* resolveAway(
  scheduler: Scheduler,
  worker: string,
  found: FoundTask[],
): Flow<void> {
  if (scheduler.held.has(worker)) {
    resolveAtOwnWorker(scheduler, worker, found);
    return;
  }
  const hint = ownerHint(scheduler.membership, worker);
  const owner = hint === undefined
    ? undefined
    : memberOf(scheduler.membership, hint.holder);
  if (owner !== undefined) {
    const taskIds = found.map(({ task }) => task.task.id);
    const result = yield* lookUpAt(owner, undefined, taskIds);
    if (result.isOk()) {
      resolveByOwner(scheduler, worker, found, result.value);
    }
    return;
  }
  for (const { entry, task } of found) {
    if (!isStill(task.progress, worker)) continue;
    if (!scheduler.listedWorkers.has(worker)) {
      resolveLostRun(scheduler, entry, task, worker);
      continue;
    }
    // A guest leaves it to the home to run an idempotent task again.
    const mayHandBack = entry.role === "guest" && task.task.idempotent;
    if (!mayHandBack && !mayRepeat(scheduler, entry, task)) continue;
    if (!hasSurelyLapsed(scheduler, task.progress)) continue;
    resolveLostRun(scheduler, entry, task, worker);
  }
}

/** The worker is ours again: what it does not remember never started. */
function resolveAtOwnWorker(
  scheduler: Scheduler,
  worker: string,
  found: FoundTask[],
): void {
  const held = scheduler.held.get(worker);
  if (held === undefined) return;
  for (const { entry, task } of found) {
    if (!isStill(task.progress, worker)) continue;
    const record = held.records.get(task.task.id);
    if (record !== undefined) {
      applyRecord(scheduler, seenAt(held, record));
    } else {
      resolveUnremembered(scheduler, entry, task, held);
    }
  }
}

/** Another owner has the worker: what it does not know never started. */
function resolveByOwner(
  scheduler: Scheduler,
  worker: string,
  found: FoundTask[],
  answer: LookupAnswer,
): void {
  const lease = answer.held.find((held) => held.worker === worker);
  if (lease === undefined) return;
  const sightings = new Map(
    answer.sightings.map((
      sighting,
    ) => [taskIdOfSighting(sighting), sighting]),
  );
  for (const { entry, task } of found) {
    if (!isStill(task.progress, worker)) continue;
    const sighting = sightings.get(task.task.id);
    if (sighting?.kind === "record") {
      applyRecord(scheduler, sighting);
    } else {
      resolveUnremembered(scheduler, entry, task, lease);
    }
  }
}

function* resolveMoved(
  scheduler: Scheduler,
  guest: string,
  found: FoundTask[],
): Flow<void> {
  const taskIds = found.map(({ task }) => task.task.id);
  const member = memberOf(scheduler.membership, guest);
  if (member !== undefined) {
    const result = yield* lookUpAt(member, undefined, taskIds);
    if (result.isErr()) return;
    for (const sighting of result.value.sightings) {
      applySighting(scheduler, guest, sighting);
    }
    return;
  }
  const search = yield* searchPeers(scheduler, guest, undefined, taskIds);
  for (const { entry, task } of found) {
    if (!isStillMoved(task.progress, guest)) continue;
    const sighting = search.sightings.get(task.task.id);
    if (sighting?.kind === "record") {
      // The guest is gone; the worker's present owner tells from now on.
      task.progress = awayAt(scheduler, sighting);
      applyRecord(scheduler, sighting);
    } else if (search.complete) {
      const isWitnessed = search.witnessedSinceMs < entry.request.acceptedAtMs;
      if (isWitnessed) requeueUnstarted(scheduler, entry, task);
      else resolveLostRun(scheduler, entry, task, guest);
    }
  }
}

/** Follows a task on a worker that a peer holds. */
export function awayAt(
  scheduler: Scheduler,
  lease: { worker: string; token: number; boot: string },
): Away {
  const { worker, token, boot } = lease;
  return {
    kind: "away",
    worker,
    token,
    boot,
    sinceMs: scheduler.moment.steadyMs,
    lapsesAtMs: Number.POSITIVE_INFINITY,
    seen: true,
  };
}

/** Takes in what a guest says of a task that was moved to it. */
export function applySighting(
  scheduler: Scheduler,
  guest: string,
  sighting: Sighting,
): void {
  const found = findTask(scheduler, taskIdOfSighting(sighting));
  if (found === undefined || found.entry.role !== "home") return;
  const { entry, task } = found;
  switch (sighting.kind) {
    case "record":
      applyRecord(scheduler, sighting);
      break;
    case "queued":
      break;
    case "ended":
      if (!isStillMoved(task.progress, guest)) break;
      if (sighting.epoch !== task.moveEpoch) break;
      endMoved(scheduler, entry, task, sighting.outcome);
      break;
    case "leaving":
      replaceReplica(scheduler, entry, task);
      break;
    case "refused":
      if (!isStillMoved(task.progress, guest)) break;
      if (sighting.epoch !== task.moveEpoch) break;
      endUnstarted(scheduler, entry, task, sighting.code, sighting.cause);
      break;
    case "returned":
      if (!isStillMoved(task.progress, guest)) break;
      if (sighting.epoch !== task.moveEpoch) break;
      requeueUnstarted(scheduler, entry, task);
      break;
  }
}

/** A guest that lost the run for good leaves it to the home to run it again. */
function endMoved(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  outcome: TaskOutcome,
): void {
  if (outcome.kind === "lost" && mayRepeat(scheduler, entry, task)) {
    repeatTask(scheduler, entry, task);
  } else {
    endTask(scheduler, entry, task, outcome);
  }
}

function hasSurelyLapsed(scheduler: Scheduler, away: Away): boolean {
  const { leaseMarginMs } = scheduler.options;
  const lapsedAtMs = away.lapsesAtMs + leaseMarginMs;
  if (scheduler.moment.steadyMs < lapsedAtMs) return false;
  const { zone } = scheduler.self;
  return othersRuledOut(scheduler.membership, zone, lapsedAtMs);
}

function isStill(progress: Progress, worker: string): progress is Away {
  return progress.kind === "away" && progress.worker === worker;
}

function isStillMoved(progress: Progress, guest: string): progress is Moved {
  return progress.kind === "moved" && progress.guest === guest;
}
