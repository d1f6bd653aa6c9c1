import * as v from "valibot";

/** Schema of the placement policy of a kind of work. */
export const policySchema = v.variant("kind", [
  v.strictObject({
    /** Long-running replicas, spread over racks and replaced on loss. */
    kind: v.literal("service"),
  }),
  v.strictObject({
    /** Independent tasks, packed tightly and preempted first. */
    kind: v.literal("batch"),
  }),
  v.strictObject({
    /** Tasks that are started all together or not at all. */
    kind: v.literal("gang"),
    /** How long the gang may wait for all of its tasks, in milliseconds. */
    holdMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), 30_000),
  }),
]);

/** The placement policy of a kind of work. */
export type Policy = v.InferOutput<typeof policySchema>;
