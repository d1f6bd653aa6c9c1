/**
 * Requests as they are stored in the log. The tasks of a request differ in
 * little, so the first is written once and the others by their differences.
 *
 * @module
 */
import * as v from "valibot";
import {
  type Request,
  requestSchema,
  type Task,
  taskIdOf,
  taskSchema,
} from "../model/mod.ts";

/** Fields that every task has for itself. */
const OWN_FIELDS = ["id", "index", "payload"] as const;

const taskTemplateSchema = v.omit(taskSchema, OWN_FIELDS);
type TaskTemplate = v.InferOutput<typeof taskTemplateSchema>;
const taskDifferenceSchema = v.object({
  ...v.partial(taskTemplateSchema).entries,
  payload: v.optional(v.unknown()),
});
type TaskDifference = v.InferOutput<typeof taskDifferenceSchema>;

/** Schema of a request as it is stored in the log. */
export const packedRequestSchema = v.object({
  ...v.omit(requestSchema, ["tasks"]).entries,
  /** What the first task shares with the others. */
  template: v.optional(taskTemplateSchema),
  /** For each task in order, its payload and what differs. */
  differences: v.array(taskDifferenceSchema),
});

/** A request as it is stored in the log. */
export type PackedRequest = v.InferOutput<typeof packedRequestSchema>;

/**
 * Packs a request for the log.
 *
 * @example
 * ```ts
 * unpackRequest(packRequest(request)); // equals the request
 * ```
 */
export function packRequest(request: Request): PackedRequest {
  const { tasks, ...rest } = request;
  const [first] = tasks;
  if (first === undefined) return { ...rest, differences: [] };
  const template = templateOf(first);
  const differences = tasks.map((task) => differenceOf(template, task));
  return { ...rest, template, differences };
}

/**
 * Unpacks a request; its tasks share what they have in common in memory.
 *
 * @example
 * ```ts
 * const request = unpackRequest(stored);
 * ```
 */
export function unpackRequest(packed: PackedRequest): Request {
  const { template, differences, ...rest } = packed;
  if (template === undefined) return { ...rest, tasks: [] };
  const tasks = differences.map((difference, index): Task => {
    const fields: TaskTemplate = Object.assign({ ...template }, difference);
    return {
      ...fields,
      id: taskIdOf(packed.id, index),
      index,
      payload: difference.payload,
    };
  });
  return { ...rest, tasks };
}

function templateOf(task: Task): TaskTemplate {
  const { id: _, index: __, payload: ___, ...template } = task;
  return template;
}

function differenceOf(template: TaskTemplate, task: Task): TaskDifference {
  const differing = Object.entries(templateOf(task)).filter((
    [field, value],
  ) => !isSame(value, template[field as keyof TaskTemplate]));
  return { ...Object.fromEntries(differing), payload: task.payload };
}

function isSame(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  const isNested = typeof left === "object" && typeof right === "object";
  return isNested && JSON.stringify(left) === JSON.stringify(right);
}
