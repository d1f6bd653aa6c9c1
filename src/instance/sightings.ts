/**
 * What one instance can say of a task, and which of two sayings tells more.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import type { TaskId, TaskOutcome } from "../model/mod.ts";
import type { Sighting } from "./peer_message.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";

/** Returns the task that a sighting speaks of. */
export function taskIdOfSighting(sighting: Sighting): TaskId {
  return sighting.kind === "record" ? sighting.record.task.id : sighting.taskId;
}

/** Says of a task what its progress tells, where no worker of ours knows it. */
export function sightingOf(
  entry: RequestEntry,
  task: TaskEntry,
): Sighting | undefined {
  const taskId = task.task.id;
  const epoch = task.moveEpoch;
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
      return sightingOfEnd(entry, task, progress.outcome);
  }
}

/** Keeps the sighting that says more of a task. */
export function prefer(
  sightings: Map<TaskId, Sighting>,
  sighting: Sighting,
): void {
  const taskId = taskIdOfSighting(sighting);
  const known = sightings.get(taskId);
  if (known === undefined || rank(sighting) > rank(known)) {
    sightings.set(taskId, sighting);
  }
}

function sightingOfEnd(
  entry: RequestEntry,
  task: TaskEntry,
  outcome: TaskOutcome,
): Sighting {
  const taskId = task.task.id;
  const epoch = task.moveEpoch;
  if (outcome.kind !== "didNotRun") {
    return { kind: "ended", taskId, epoch, outcome };
  }
  const code = entry.refusalCode ?? diagnostics.homeSettled.code;
  return { kind: "refused", taskId, epoch, code, cause: outcome.cause };
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
