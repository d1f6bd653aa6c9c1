/**
 * Asks every instance that could have tasks what it knows of them.
 *
 * @module
 */
import {
  type Holder,
  holderOf,
  isSettled,
  membersOf,
  reportedWorkers,
  unsettledHolders,
} from "../membership/mod.ts";
import type { TaskId } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import { lookUpAt, lookUpHere } from "./lookups.ts";
import type { LookupAnswer, Sighting } from "./peer_message.ts";
import { type Scheduler, selfHolder } from "./scheduler.ts";
import { prefer } from "./sightings.ts";
import { gather } from "./waits.ts";

/** What every instance that could have tasks knows of them. */
export type Search = {
  sightings: Map<TaskId, Sighting>;
  /**
   * Whether every worker was asked through its present owner, and every
   * incarnation that is gone is settled. Only then does a task without a
   * sighting surely not run, and never will.
   */
  complete: boolean;
  /** Which peer has a task queued, and by which move. */
  queuedAt: Map<TaskId, { holder: Holder; epoch: number }>;
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
  const queuedAt: Search["queuedAt"] = new Map();
  let moveEpoch = 0;
  for (const answer of all) {
    for (const { worker } of answer.held) held.add(worker);
    for (const sighting of answer.sightings) {
      prefer(sightings, sighting);
      if (sighting.kind !== "record" && sighting.kind !== "leaving") {
        moveEpoch = Math.max(moveEpoch, sighting.epoch);
      }
      if (sighting.kind !== "queued" || answer === here) continue;
      const { taskId, epoch } = sighting;
      queuedAt.set(taskId, { holder: answer.holder, epoch });
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
