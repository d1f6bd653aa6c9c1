import type { TaskRow } from "../api/mod.ts";
import type { TaskList } from "./answers/mod.ts";
import type { InstanceResponse } from "./instances.ts";

/** A task, with the instance that listed it. */
export type MergedTask = TaskRow & {
  /** `id/incarnation` of the instance. */
  instance: string;
};

/**
 * Merges the tasks that instances list for the domains they own. While the
 * ownership of a domain moves, two instances may list the same task; the last
 * row is kept.
 *
 * @example
 * ```ts
 * const tasks = mergeTasks(gathered.responses);
 * ```
 *
 * @returns the rows, longest wait first
 */
export function mergeTasks(
  responses: InstanceResponse<TaskList>[],
): MergedTask[] {
  const merged = new Map<string, MergedTask>();
  for (const { instance, value } of responses) {
    for (const task of value.tasks) {
      merged.set(task.id, { ...task, instance: instance.name });
    }
  }
  return [...merged.values()]
    .sort((left, right) => right.waitedMs - left.waitedMs);
}
