/**
 * Bounds on what a step holds, so that its record fits into the store.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { MAX_RECORD_BYTES } from "../hosts/mod.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { StepRun } from "./step_run.ts";
import type { TaskState } from "./task_state.ts";

/** Room for the key and for what a record holds beside its tasks, in bytes. */
const MARGIN_BYTES = 1_024;
/**
 * The most that a task adds to the record of its step without its checkpoint and
 * the id of its worker, in bytes.
 */
const MAX_BYTES_PER_TASK = 44;
/** The most characters of checkpoints that an owner keeps for a step. */
const MAX_STEP_CHARACTERS = 1_048_576;
/** The most characters of checkpoints that an owner keeps for a domain. */
const MAX_DOMAIN_CHARACTERS = 16_777_216;

/**
 * Returns the size of a worker's id in records, in bytes.
 *
 * @example
 * ```ts
 * workerIdBytes("i-7f3a91c2"); // 12
 * ```
 */
export function workerIdBytes(id: string): number {
  return Buffer.byteLength(JSON.stringify(id));
}

/**
 * Whether the record of a step has room for further placed tasks on a worker.
 * Where ids are so long that it has none for all, the step runs in waves.
 *
 * @example
 * ```ts
 * if (hasRecordRoom(run, worker, 1)) placeTask(run, index, worker, placement);
 * ```
 */
export function hasRecordRoom(
  run: StepRun,
  worker: DomainWorker,
  count: number,
): boolean {
  const { taskCount } = run.step;
  const idBytes = Math.max(run.longestIdBytes, worker.idBytes);
  const placedCount = taskCount - run.waitingCount - run.doneCount;
  return (placedCount + count) * idBytes + taskCount * MAX_BYTES_PER_TASK <=
    MAX_RECORD_BYTES - MARGIN_BYTES;
}

/**
 * Replaces the checkpoint of a task that has not ended, unless the checkpoints
 * of its step or domain would take too much memory. The task then keeps the
 * earlier one.
 *
 * @returns whether the checkpoint is kept
 *
 * @example
 * ```ts
 * keepCheckpoint(domain, run, task, "00000bb87a21d94b");
 * ```
 */
export function keepCheckpoint(
  domain: Domain,
  run: StepRun,
  task: Exclude<TaskState, { kind: "done" }>,
  checkpoint: string,
): boolean {
  const added = checkpoint.length - (task.checkpoint?.length ?? 0);
  const characters = run.checkpointCharacters + added;
  const isTooLong = characters > MAX_STEP_CHARACTERS ||
    domain.checkpointCharacters + added > MAX_DOMAIN_CHARACTERS;
  if (added >= 0 && isTooLong) return false;
  run.checkpointCharacters = characters;
  domain.checkpointCharacters += added;
  task.checkpoint = checkpoint;
  return true;
}

/**
 * Gives the checkpoint of a member to its whole gang, for which it is valid. The
 * members share the text, so it takes memory once.
 *
 * @example
 * ```ts
 * shareGangCheckpoint(run, "00000bb87a21d94b");
 * ```
 */
export function shareGangCheckpoint(run: StepRun, checkpoint: string): void {
  if (checkpoint === "") return;
  if (checkpoint.length > MAX_STEP_CHARACTERS) return;
  for (const task of run.tasks) {
    if (task.kind === "done") continue;
    run.checkpointCharacters += checkpoint.length -
      (task.checkpoint?.length ?? 0);
    task.checkpoint = checkpoint;
  }
}

/**
 * Counts the characters of checkpoints that a domain holds. Those of tasks and
 * steps that have ended since the last count are subtracted only here.
 */
export function countCheckpointCharacters(domain: Domain): void {
  domain.checkpointCharacters = 0;
  for (const run of domain.steps.values()) {
    domain.checkpointCharacters += run.step.gang
      ? run.checkpointCharacters / run.step.taskCount
      : run.checkpointCharacters;
  }
}
