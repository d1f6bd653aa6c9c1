import { endRun } from "../../../stand_ins/platform/worker.ts";
import type { Model } from "./owner_model_state.ts";

/** Duration of a task in the simulation, in milliseconds. */
export const TASK_MS = 700;

/** How long a member waits for the others, in milliseconds. */
const GANG_TIMEOUT_MS = 2_000;

/** Returns how long a task runs by itself; members of gangs never end so. */
export function taskDurationMs(model: Model, task: string): number {
  return isGangMember(model, task) ? Infinity : TASK_MS;
}

/**
 * Has the members of each gang work while all of them run, and end at the same
 * time. A gang that is not complete for some time ends.
 */
export function advanceGangs(model: Model): void {
  const { nowMs } = model.bench;
  for (const [job, step] of model.firstSteps) {
    if (!step.gang) continue;
    const members = findMembers(model, job);
    if (members.some(({ run }) => run.endsAtMs <= nowMs)) continue;
    const attempts = new Set(members.map(({ run }) => run.attempt));
    const isComplete = members.length === step.taskCount && attempts.size === 1;
    const isWorking = members.every(({ run }) => run.endsAtMs < Infinity);
    if (isComplete && isWorking) continue;
    for (const { worker, task, run } of members) {
      run.endsAtMs = isComplete ? nowMs + TASK_MS : Infinity;
      const waitedMs = nowMs - run.record.startedAtMs;
      if (!isComplete && waitedMs > GANG_TIMEOUT_MS) {
        endRun(worker, task, "alone", nowMs);
      }
    }
  }
}

function findMembers(model: Model, job: string) {
  return [...model.workers.values()].flatMap(({ worker }) =>
    [...worker.running].filter(([task]) => task.startsWith(`${job}.0.0.`))
      .map(([task, run]) => ({ worker, task, run }))
  );
}

function isGangMember(model: Model, task: string): boolean {
  const [job = "", , index] = task.split(".");
  return index === "0" && model.firstSteps.get(job)?.gang === true;
}
