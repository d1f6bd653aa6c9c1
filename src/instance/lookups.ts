/**
 * What is known of tasks, here and at the peers of the zone.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import {
  barsFor,
  type Holder,
  holderOf,
  isSettled,
  membersOf,
  reportedWorkers,
  unsettledHolders,
} from "../membership/mod.ts";
import type { Instance, TaskId, TaskOutcome } from "../model/mod.ts";
import type { Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { Flow } from "./flow.ts";
import {
  type LookupAnswer,
  lookupAnswerSchema,
  type Sighting,
} from "./peer_message.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { findTask } from "./requests.ts";
import { isKept, type Scheduler, selfHolder } from "./scheduler.ts";
import { callPeer, gather } from "./waits.ts";

/** Time-out of one lookup. */
const LOOKUP_TIMEOUT_MS = 1_500;

/** What every instance that could have tasks knows of them. */
export type Search = {
  sightings: Map<TaskId, Sighting>;
  /**
   * Whether every worker was asked through its present owner, and every
   * incarnation that is gone is settled. Only then does a task without a
   * sighting surely not run, and never will.
   */
  complete: boolean;
  /** Which peer has a task queued. */
  queuedAt: Map<TaskId, Holder>;
  /** The highest number of any move of the tasks that is known. */
  moveEpoch: number;
  /**
   * Since when no worker vanished or forgot its tasks (wall clock, ms). What
   * was sent to a worker before may have run without a record.
   */
  witnessedSinceMs: number;
  /** Whether some instance knows the request as durable work. */
  kept: boolean;
  /** A final outcome that some instance remembers. */
  outcome: LookupAnswer["outcome"];
};

/** Answers a lookup from what this instance knows. */
export function lookUpHere(
  scheduler: Scheduler,
  requestId: string | undefined,
  taskIds: TaskId[],
): LookupAnswer {
  const sightings = new Map<TaskId, Sighting>();
  for (const held of scheduler.held.values()) {
    for (const taskId of taskIds) {
      const record = held.records.get(taskId);
      if (record === undefined) continue;
      const worker = held.address.id;
      const { token, boot } = held;
      prefer(sightings, { kind: "record", worker, token, boot, record });
    }
    if (requestId === undefined) continue;
    for (const record of held.records.values()) {
      if (record.task.requestId !== requestId) continue;
      const worker = held.address.id;
      const { token, boot } = held;
      prefer(sightings, { kind: "record", worker, token, boot, record });
    }
  }
  addOwnTasks(scheduler, requestId, taskIds, sightings);
  const entry = requestId === undefined
    ? undefined
    : scheduler.requests.get(requestId);
  return {
    holder: selfHolder(scheduler),
    held: [...scheduler.held.values()].map((held) => ({
      worker: held.address.id,
      token: held.token,
      boot: held.boot,
      rememberedSinceMs: held.rememberedSinceMs,
    })),
    barred: barsFor(scheduler.membership),
    sightings: [...sightings.values()],
    startedAtMs: scheduler.startedAtMs,
    goneWorkers: [...scheduler.goneWorkers].map(([worker, atMs]) => ({
      worker,
      atMs,
    })),
    kept: requestId !== undefined && isKept(scheduler, requestId),
    outcome: entry?.role === "home" ? entry.outcome : undefined,
  };
}

/** Asks one peer what it knows of some tasks. */
export function* lookUpAt(
  peer: Instance,
  requestId: string | undefined,
  taskIds: TaskId[],
): Flow<Result<LookupAnswer, Fault>> {
  return yield* callPeer(
    peer.url,
    { kind: "lookup", requestId, taskIds },
    lookupAnswerSchema,
    LOOKUP_TIMEOUT_MS,
  );
}

/**
 * Asks every instance to which tasks could have moved what it knows of them.
 *
 * @param lost the incarnation that had the tasks last, where it is known
 */
export function* searchPeers(
  scheduler: Scheduler,
  lost: Holder | undefined,
  requestId: string | undefined,
  taskIds: TaskId[],
): Flow<Search> {
  const { membership } = scheduler;
  const zones = zonesInReach(scheduler);
  const self = selfHolder(scheduler);
  const isSettledBefore = areSettled(scheduler, lost, zones);
  const peers = zones.flatMap((zone) => membersOf(membership, zone))
    .filter((peer) => holderOf(peer) !== self);
  const answers = yield* gather(
    scheduler.runner,
    peers.map((peer) => lookUpAt(peer, requestId, taskIds)),
  );
  const sightings = new Map<TaskId, Sighting>();
  const held = new Set<string>();
  let outcome: LookupAnswer["outcome"];
  let complete = isSettledBefore && areSettled(scheduler, lost, zones);
  const here = lookUpHere(scheduler, requestId, taskIds);
  const known = answers.flatMap((answer) =>
    answer.isOk() ? [answer.value] : []
  );
  if (known.length < answers.length) complete = false;
  const all = [here, ...known];
  const queuedAt = new Map<TaskId, Holder>();
  let moveEpoch = 0;
  for (const answer of all) {
    for (const { worker } of answer.held) held.add(worker);
    for (const sighting of answer.sightings) {
      prefer(sightings, sighting);
      if (sighting.kind !== "record" && sighting.kind !== "leaving") {
        moveEpoch = Math.max(moveEpoch, sighting.epoch);
      }
      if (sighting.kind !== "queued" || answer === here) continue;
      queuedAt.set(sighting.taskId, answer.holder);
    }
    outcome ??= answer.outcome;
  }
  for (const zone of zones) {
    for (const worker of reportedWorkers(membership, zone)) {
      if (!held.has(worker)) complete = false;
    }
  }
  const answersOf = (zone: string) =>
    answers.flatMap((answer, index) =>
      answer.isOk() && peers[index]?.zone === zone ? [answer.value] : []
    );
  const witnessedSinceMs = Math.max(...zones.map((zone) =>
    witnessedSince([
      ...(zone === scheduler.self.zone ? [here] : []),
      ...answersOf(zone),
    ])
  ));
  return {
    sightings,
    complete,
    queuedAt,
    moveEpoch,
    witnessedSinceMs,
    kept: all.some((answer) => answer.kept),
    outcome,
  };
}

/**
 * Tells since when no worker of a zone vanished unseen, by the answers of that
 * zone. Instances of other zones may read older lists, and do not report the
 * workers of this one.
 */
function witnessedSince(answers: LookupAnswer[]): number {
  const startedAtMs = Math.min(...answers.map((answer) => answer.startedAtMs));
  const goneAtMs = answers.flatMap((answer) =>
    answer.goneWorkers.map((gone) => gone.atMs)
  );
  const rememberedSinceMs = answers.flatMap((answer) =>
    answer.held.map((held) => held.rememberedSinceMs)
  );
  return Math.max(startedAtMs, ...goneAtMs, ...rememberedSinceMs);
}

/** Returns the task that a sighting speaks of. */
export function taskIdOfSighting(sighting: Sighting): TaskId {
  return sighting.kind === "record" ? sighting.record.task.id : sighting.taskId;
}

/** Lists the zones to which tasks of this zone can move. */
export function zonesInReach(scheduler: Scheduler): string[] {
  const { membership, options, self } = scheduler;
  if (options.spill === "zone") return [self.zone];
  const zones = new Set([self.zone]);
  for (const listed of membership.listed) zones.add(listed.zone);
  for (const member of membership.members.values()) {
    zones.add(member.instance.zone);
  }
  return [...zones].sort();
}

/**
 * Tells whether nothing of a lost incarnation can start any more, and nothing
 * that it moved to another lost one.
 */
function areSettled(
  scheduler: Scheduler,
  lost: Holder | undefined,
  zones: string[],
): boolean {
  const { membership } = scheduler;
  if (lost !== undefined && !isSettled(membership, lost, zones)) return false;
  return zones.every((zone) => unsettledHolders(membership, zone).length === 0);
}

function addOwnTasks(
  scheduler: Scheduler,
  requestId: string | undefined,
  taskIds: TaskId[],
  sightings: Map<TaskId, Sighting>,
): void {
  for (const taskId of taskIds) {
    const found = findTask(scheduler, taskId);
    if (found === undefined) continue;
    const sighting = sightingOf(found.entry, found.task);
    if (sighting !== undefined) prefer(sightings, sighting);
  }
  if (requestId === undefined) return;
  const entry = scheduler.requests.get(requestId);
  for (const task of entry?.tasks.values() ?? []) {
    const sighting = entry && sightingOf(entry, task);
    if (sighting !== undefined) prefer(sightings, sighting);
  }
}

/** Says of a task what its progress tells, where no worker of ours knows it. */
function sightingOf(
  entry: RequestEntry,
  task: TaskEntry,
): Sighting | undefined {
  const taskId = task.task.id;
  const epoch = entry.moveEpoch;
  const { progress } = task;
  switch (progress.kind) {
    case "queued":
    case "starting":
    case "running":
    case "away":
    case "moved":
      return { kind: "queued", taskId, epoch };
    case "returned":
      return { kind: "returned", taskId, epoch };
    case "ended":
      return sightingOfEnd(entry, taskId, progress.outcome);
  }
}

function sightingOfEnd(
  entry: RequestEntry,
  taskId: TaskId,
  outcome: TaskOutcome,
): Sighting {
  const epoch = entry.moveEpoch;
  if (outcome.kind !== "didNotRun") {
    return { kind: "ended", taskId, epoch, outcome };
  }
  const code = entry.refusalCode ?? diagnostics.homeSettled.code;
  return { kind: "refused", taskId, epoch, code, cause: outcome.cause };
}

/** Keeps the sighting that says more of a task. */
function prefer(
  sightings: Map<TaskId, Sighting>,
  sighting: Sighting,
): void {
  const taskId = taskIdOfSighting(sighting);
  const known = sightings.get(taskId);
  if (known === undefined || rank(sighting) > rank(known)) {
    sightings.set(taskId, sighting);
  }
}

/** An ended run says more than a live one, and any run more than a queue. */
function rank(sighting: Sighting): number {
  switch (sighting.kind) {
    case "record":
      return sighting.record.state === "finished" ? 5 : 4;
    case "ended":
    case "queued":
      return 3;
    case "refused":
      return 2;
    case "returned":
      return 1;
    case "leaving":
      return 0;
  }
}
