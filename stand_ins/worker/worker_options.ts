import * as v from "valibot";
import {
  workerAddressSchema,
  workerCapacitySchema,
} from "../../src/model/mod.ts";

const HOUR_MS = 3_600_000;

/** Schema of a worker's options. */
export const workerOptionsSchema = v.strictObject({
  ...v.omit(workerAddressSchema, ["url"]).entries,
  capacity: workerCapacitySchema,
  /** How long the lease lasts after each renewal, in milliseconds. */
  leaseMs: v.optional(v.number(), 6_000),
  /** How far the reported usage is behind, in milliseconds. */
  usageLagMs: v.optional(v.number(), 2_000),
  /** How long ended tasks are remembered, in milliseconds. */
  rememberMs: v.optional(v.number(), HOUR_MS),
  seed: v.optional(v.number(), 1),
});

/** Options of a worker. */
export type WorkerOptions = v.InferInput<typeof workerOptionsSchema>;

/** Options of a worker with every default filled in. */
export type WorkerSettings = v.InferOutput<typeof workerOptionsSchema>;
