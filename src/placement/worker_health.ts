/**
 * Workers that fail all they start: set aside, then probed with one task.
 *
 * A failure counts against its worker only while the same kind of work fails
 * nowhere else, so that work which can never succeed does not take good
 * workers out.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { Task } from "../model/mod.ts";
import { kindOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { hasSpace, refreshLeaf } from "./room.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WorkerState } from "./worker_state.ts";

/** Failures in a row after which a worker is set aside. */
const MOST_SUSPICION = 3;
const FIRST_SUSPENSION_MS = 10_000;
const LONGEST_SUSPENSION_MS = 300_000;
/** At most this part of the workers is set aside at once. */
const MOST_SET_ASIDE = 0.5;
/** Stands for more than one worker. */
const SEVERAL = "";

/** Whether a worker runs what it is given, as far as it is known. */
export type WorkerHealth =
  /** `suspicion` sums up the failures since the last success. */
  | { kind: "trusted"; suspicion: number }
  | { kind: "suspended"; untilMs: number; suspensionMs: number }
  /** Runs at most one task, whose end decides. */
  | { kind: "probed"; taskId: string | undefined; suspensionMs: number };

/** Works a success or a failure into the health of a worker. */
export function noteEnding(
  placement: Placement,
  placed: PlacedTask,
  failed: boolean,
  atMs: number,
): void {
  const { worker, task } = placed;
  const weight = failed ? failureWeight(placement, worker, task) : 0;
  if (!failed) placement.failedOn.delete(kindOf(task));
  const { health } = worker;
  switch (health.kind) {
    case "trusted":
      health.suspicion = failed ? health.suspicion + weight : 0;
      if (health.suspicion < MOST_SUSPICION) return;
      return suspend(placement, worker, FIRST_SUSPENSION_MS, atMs);
    case "suspended":
      return;
    case "probed":
      if (health.taskId !== task.id) return;
      if (failed) {
        return suspend(placement, worker, 2 * health.suspensionMs, atMs);
      }
      worker.health = { kind: "trusted", suspicion: 0 };
      placement.probed.delete(worker);
      return refreshLeaf(placement, worker);
    default:
      return assertNever(health);
  }
}

/** Ends the suspensions whose time is over; those workers are probed. */
export function endSuspensions(placement: Placement, atMs: number): void {
  for (const worker of placement.suspended) {
    const { health } = worker;
    if (health.kind !== "suspended" || health.untilMs > atMs) continue;
    const { suspensionMs } = health;
    worker.health = { kind: "probed", taskId: undefined, suspensionMs };
    placement.suspended.delete(worker);
    placement.probed.add(worker);
  }
}

/** A worker to be probed that has room for a task, where the task may fail. */
export function workerToProbe(
  placement: Placement,
  task: Task,
): WorkerState | undefined {
  if (placement.probed.size === 0) return undefined;
  if (!task.idempotent || task.policy.kind !== "batch") return undefined;
  for (const worker of placement.probed) {
    const { health } = worker;
    if (health.kind !== "probed" || health.taskId !== undefined) continue;
    if (worker.leaving || !worker.reachable || worker.stale) continue;
    if (hasSpace(worker, task.demand)) return worker;
  }
  return undefined;
}

/** Forgets a worker that is gone. */
export function forgetHealth(placement: Placement, worker: WorkerState): void {
  placement.suspended.delete(worker);
  placement.probed.delete(worker);
}

function suspend(
  placement: Placement,
  worker: WorkerState,
  suspensionMs: number,
  atMs: number,
): void {
  const { suspended, probed, workers } = placement;
  const aside = suspended.size + probed.size + 1;
  if (!probed.has(worker) && aside > MOST_SET_ASIDE * workers.size) return;
  const lengthMs = Math.min(suspensionMs, LONGEST_SUSPENSION_MS);
  worker.health = {
    kind: "suspended",
    untilMs: atMs + lengthMs,
    suspensionMs: lengthMs,
  };
  probed.delete(worker);
  suspended.add(worker);
  refreshLeaf(placement, worker);
}

/**
 * How much a failure says of its worker: nothing where the same kind of work
 * failed on another worker, too, and has not succeeded since.
 */
function failureWeight(
  placement: Placement,
  worker: WorkerState,
  task: Task,
): number {
  const key = kindOf(task);
  const failedOn = placement.failedOn.get(key) ?? worker.id;
  placement.failedOn.set(key, failedOn === worker.id ? worker.id : SEVERAL);
  return failedOn === worker.id ? 1 : 0;
}
