import * as v from "valibot";

const specificationSchema = v.object({
  agreement: v.string(),
  work: v.string(),
  /** The payload of each task, by step. */
  steps: v.array(v.array(v.unknown())),
});

/** The decoded specification that a worker receives with a task. */
export type Specification = v.InferOutput<typeof specificationSchema>;

const payloadSchema = v.object({
  /** How long the task runs, in milliseconds. */
  runMs: v.optional(v.number(), 0),
  /** Whether the task crashes each worker that starts it. */
  isDeadly: v.optional(v.boolean(), false),
});

/**
 * Parses the specification of a task.
 *
 * @throws if the text is not a valid specification
 */
export function parseSpecification(text: string): Specification {
  return v.parse(specificationSchema, JSON.parse(text));
}

/**
 * Run time of a task according to its payload, in milliseconds; 0 if the
 * payload gives none.
 *
 * @param task task id, which ends in the step and the index of the task
 */
export function taskDurationMs(text: string, task: string): number {
  return parsePayload(text, task)?.runMs ?? 0;
}

/** Whether a task crashes each worker that starts it, by its payload. */
export function isDeadlyTask(text: string, task: string): boolean {
  return parsePayload(text, task)?.isDeadly ?? false;
}

function parsePayload(
  text: string,
  task: string,
): v.InferOutput<typeof payloadSchema> | undefined {
  const { steps } = parseSpecification(text);
  const [index = 0, step = 0] = task.split(".").map(Number).reverse();
  const payload = v.safeParse(payloadSchema, steps[step]?.[index]);
  return payload.success ? payload.output : undefined;
}
