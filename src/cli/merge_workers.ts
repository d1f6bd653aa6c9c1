import type { WorkerRow } from "../api/mod.ts";
import { compareStrings } from "../base/mod.ts";
import type { WorkerList } from "./answers/mod.ts";
import type { InstanceAnswer } from "./instances.ts";

/** A worker, with the instance that owns its domain. */
export type MergedWorker = WorkerRow & {
  /** Id and incarnation of the owner. */
  instance: string;
};

/**
 * Merges what instances list of workers. Where two say that they own a
 * worker's domain, the higher epoch is the later owner.
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
      if (known !== undefined && known.epoch >= row.epoch) continue;
      merged.set(row.id, { ...row, instance: instance.name });
    }
  }
  return [...merged.values()].sort((left, right) =>
    compareStrings(left.zone, right.zone) || compareStrings(left.id, right.id)
  );
}
