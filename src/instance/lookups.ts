/**
 * What is known of tasks, here and at one peer.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import { barsFor } from "../membership/mod.ts";
import type { Instance, TaskId } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import {
  type LookupAnswer,
  lookupAnswerSchema,
  type Sighting,
} from "./peer_message.ts";
import { findTask } from "./requests.ts";
import { isKept, type Scheduler, selfHolder } from "./scheduler.ts";
import { prefer, sightingOf } from "./sightings.ts";
import { callPeer } from "./waits.ts";

/** Time-out of one lookup. */
const LOOKUP_TIMEOUT_MS = 1_500;

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
