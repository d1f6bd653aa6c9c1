import type { WorkerList, WorkerRow } from "./answers/mod.ts";
import type { InstanceAnswer } from "./instances.ts";

/** A worker, with the instance that holds it. */
export type MergedWorker = WorkerRow & {
  /** Id and incarnation of the holder; absent where none says that it is. */
  instance?: string;
};

/**
 * Merges what instances list of workers: the row of each comes from the
 * instance that holds it. Where two say so, the higher token is the later
 * lease.
 *
 * @example
 * ```ts
 * const workers = mergeWorkers(gathered.answers);
 * ```
 *
 * @returns the rows by zone and id
 */
export function mergeWorkers(
  answers: InstanceAnswer<WorkerList>[],
): MergedWorker[] {
  const merged = new Map<string, MergedWorker>();
  for (const { instance, value } of answers) {
    for (const row of value.workers) {
      const known = merged.get(row.id);
      if (known !== undefined && tokenOf(known) >= tokenOf(row)) continue;
      const isHeld = row.token !== undefined;
      merged.set(row.id, isHeld ? { ...row, instance: instance.name } : row);
    }
  }
  return [...merged.values()].sort(byPlace);
}

/** The token that a row tells, below all others where it tells none. */
function tokenOf({ token = -1 }: WorkerRow): number {
  return token;
}

function byPlace(left: WorkerRow, right: WorkerRow): number {
  return compareTexts(left.zone, right.zone) || compareTexts(left.id, right.id);
}

function compareTexts(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
