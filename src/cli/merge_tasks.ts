import type { TaskRow } from "../api/mod.ts";
import type { TaskList } from "./answers/mod.ts";
import type { InstanceAnswer } from "./instances.ts";

/** A task, with the instance whose row it is. */
export type MergedTask = TaskRow & {
  /** Id and incarnation. */
  instance: string;
};

/**
 * Merges what instances list of the tasks of their domains. Where a domain
 * has just changed its owner, a task stands once.
 *
 * @example
 * ```ts
 * const tasks = mergeTasks(gathered.answers);
 * ```
 *
 * @returns the rows, those that waited longest first
 */
export function mergeTasks(answers: InstanceAnswer<TaskList>[]): MergedTask[] {
  const merged = new Map<string, MergedTask>();
  for (const { instance, value } of answers) {
    for (const task of value.tasks) {
      merged.set(task.id, { ...task, instance: instance.name });
    }
  }
  return [...merged.values()]
    .sort((left, right) => right.waitedMs - left.waitedMs);
}
