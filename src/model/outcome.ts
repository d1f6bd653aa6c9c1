import * as v from "valibot";

/** Schema of the outcome of one task. */
export const taskOutcomeSchema = v.variant("kind", [
  v.object({
    kind: v.literal("finished"),
    index: v.number(),
    attempt: v.number(),
  }),
  v.object({
    kind: v.literal("failed"),
    index: v.number(),
    attempt: v.number(),
    cause: v.string(),
  }),
  v.object({
    /** The task started and was stopped before it finished. */
    kind: v.literal("stopped"),
    index: v.number(),
    attempt: v.number(),
    cause: v.string(),
  }),
  v.object({
    kind: v.literal("didNotRun"),
    index: v.number(),
    cause: v.string(),
  }),
]);

/** The final outcome of one task. */
export type TaskOutcome = v.InferOutput<typeof taskOutcomeSchema>;

/** Schema of the outcome of a request. */
export const outcomeSchema = v.variant("kind", [
  v.object({
    /** At least one task ran; `tasks` has the outcome of each task in order. */
    kind: v.literal("ran"),
    tasks: v.array(taskOutcomeSchema),
  }),
  v.object({
    /** No task of the request ran or will run. */
    kind: v.literal("didNotRun"),
    /** Code of the diagnostic that gives the reason. */
    code: v.number(),
    cause: v.string(),
  }),
  v.object({
    /** The request is waiting or running, or its owner is unreachable. */
    kind: v.literal("notKnownYet"),
    state: v.picklist(["issued", "queued", "running", "unreachable"]),
    cause: v.string(),
    retryAfterMs: v.number(),
  }),
]);

/** The outcome of a request as reported to the caller. */
export type Outcome = v.InferOutput<typeof outcomeSchema>;
