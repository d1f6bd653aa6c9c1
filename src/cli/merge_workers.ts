import type { WorkerRow } from "../api/mod.ts";
import { compareStrings } from "../base/mod.ts";
import type { WorkerList } from "./answers/mod.ts";
import type { InstanceResponse } from "./instances.ts";

/** A worker, with the instance that owns its domain. */
export type MergedWorker = WorkerRow & {
  /** `id/incarnation` of the owner. */
  instance: string;
};

/**
 * Merges the workers that instances list for the domains they own. If two
 * instances list the same worker, the row with the higher epoch is from the
 * later owner and is kept.
 *
 * @example
 * ```ts
 * const workers = mergeWorkers(gathered.responses);
 * ```
 *
 * @returns the rows, sorted by zone and id
 */
export function mergeWorkers(
  responses: InstanceResponse<WorkerList>[],
): MergedWorker[] {
  const merged = new Map<string, MergedWorker>();
  for (const { instance, value } of responses) {
    for (const row of value.workers) {
      const existing = merged.get(row.id);
      if (existing !== undefined && existing.epoch >= row.epoch) continue;
      merged.set(row.id, { ...row, instance: instance.name });
    }
  }
  return [...merged.values()].sort((left, right) =>
    compareStrings(left.zone, right.zone) || compareStrings(left.id, right.id)
  );
}
