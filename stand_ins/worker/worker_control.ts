import * as v from "valibot";
import { faultControlEntries } from "../base/mod.ts";

/** Schema of a control call to a worker. */
export const workerControlSchema = v.strictObject({
  ...faultControlEntries,
  /** Whether the worker is about to leave and refuses new work. */
  leaving: v.optional(v.boolean()),
  /** Whether every task fails at once. */
  failAll: v.optional(v.boolean()),
  /** Ends every run without a trace, as when the machine dies. */
  crash: v.optional(v.boolean()),
});

/** A change of what a worker shows. */
export type WorkerControl = v.InferOutput<typeof workerControlSchema>;
