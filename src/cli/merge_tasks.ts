import { splitRequestId } from "../instance/request_ids.ts";
import type { TaskList, TaskRow } from "./answers/mod.ts";
import type { InstanceAnswer } from "./instances.ts";

/** A task, with the instance whose row it is. */
export type MergedTask = TaskRow & {
  /** Id and incarnation. */
  instance: string;
};

/** How much a row tells; the row of the highest rank is shown. */
const RANKS = { movedAway: 1, elsewhere: 2, home: 3 };

/**
 * Merges what instances list of tasks: the row of each comes from its home.
 * Where that only says that it moved the task, or does not list it, the row
 * comes from the instance that has it.
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
      const row = { ...task, instance: instance.name };
      const known = merged.get(row.id);
      if (known !== undefined && rankOf(known) >= rankOf(row)) continue;
      merged.set(row.id, row);
    }
  }
  return [...merged.values()]
    .sort((left, right) => right.waitedMs - left.waitedMs);
}

function rankOf({ id, state, instance }: MergedTask): number {
  if (state === "moved") return RANKS.movedAway;
  const { home } = splitRequestId(id);
  const isHome = instance === `${home.instance}/${home.incarnation}`;
  return isHome ? RANKS.home : RANKS.elsewhere;
}
