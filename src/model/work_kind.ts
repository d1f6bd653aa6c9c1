import * as v from "valibot";
import { policySchema } from "./policy.ts";
import { resourcesSchema } from "./resources.ts";

/** Lowest urgency of a kind of work. */
export const MIN_URGENCY = 0;
/** Highest urgency of a kind of work. */
export const MAX_URGENCY = 9;
/** Minimum urgency of work that may preempt batch work. */
export const PREEMPTING_URGENCY = 7;

/** Service whose workers run work that names no service. */
export const DEFAULT_SERVICE = "default";

/** Schema of a kind of work that a customer runs. */
export const workKindSchema = v.strictObject({
  name: v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/)),
  policy: policySchema,
  /** Service whose workers run the tasks. */
  service: v.optional(v.string(), DEFAULT_SERVICE),
  /** From 0 (can wait) to 9 (a person is waiting). */
  urgency: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(MIN_URGENCY),
    v.maxValue(MAX_URGENCY),
  ),
  /** Whether a task may be run again after it was lost. */
  idempotent: v.boolean(),
  /** Whether work is written to the log before it is acknowledged. */
  durable: v.optional(v.boolean(), false),
  /** Demand of a task if the submission gives none. */
  demand: resourcesSchema,
  /** Expected run time of a task, in milliseconds. */
  durationMs: v.pipe(v.number(), v.integer(), v.minValue(1)),
});

/** A kind of work that a customer runs, with the policy that places it. */
export type WorkKind = v.InferOutput<typeof workKindSchema>;
