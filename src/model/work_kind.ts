import * as v from "valibot";
import { policySchema } from "./policy.ts";
import { resourcesSchema } from "./resources.ts";

/** The least urgent value that a kind of work may have. */
export const MIN_URGENCY = 0;
/** The most urgent value that a kind of work may have. */
export const MAX_URGENCY = 9;
/** Work of this urgency or above may preempt batch work. */
export const PREEMPTING_URGENCY = 7;

/** Workers of this service run work that names no other. */
export const DEFAULT_SERVICE = "default";

/** Schema of a kind of work that a customer runs. */
export const workKindSchema = v.strictObject({
  name: v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/)),
  policy: policySchema,
  /** The service whose workers run it. */
  service: v.optional(v.string(), DEFAULT_SERVICE),
  /** From 0 (can wait) to 9 (a person is waiting). */
  urgency: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(MIN_URGENCY),
    v.maxValue(MAX_URGENCY),
  ),
  /** Whether a task may be run again after a loss. */
  idempotent: v.boolean(),
  /** Whether accepted work is kept in the log before it is acknowledged. */
  durable: v.optional(v.boolean(), false),
  /** What a task needs when the submission does not say. */
  demand: resourcesSchema,
  /** How long a task is expected to run, in milliseconds. */
  durationMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** A kind of work that a customer runs, with the policy that places it. */
export type WorkKind = v.InferOutput<typeof workKindSchema>;
