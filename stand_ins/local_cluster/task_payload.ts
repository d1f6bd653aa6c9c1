import * as v from "valibot";

const specificationSchema = v.object({
  agreement: v.string(),
  work: v.string(),
  /** The payload of each task, by step. */
  steps: v.array(v.array(v.unknown())),
});

/** What a worker is handed, decoded. */
export type Specification = v.InferOutput<typeof specificationSchema>;

const payloadSchema = v.object({
  /** How long the task runs, in milliseconds. */
  runMs: v.optional(v.number(), 0),
});

/** Decodes what a worker is handed. */
export function parseSpecification(text: string): Specification {
  return v.parse(specificationSchema, JSON.parse(text));
}

/** How long a task runs, as its payload says, in milliseconds. */
export function taskDurationMs(text: string, task: string): number {
  const { steps } = parseSpecification(text);
  const [index = 0, step = 0] = task.split(".").map(Number).reverse();
  const payload = v.safeParse(payloadSchema, steps[step]?.[index]);
  return payload.success ? payload.output.runMs : 0;
}
