import * as v from "valibot";
import { taskRowSchema, workerRowSchema } from "../../api/mod.ts";
import { manifestChangeSchema } from "../../manifest/mod.ts";
import { requestViewSchema } from "../../model/mod.ts";

/** Schema of a customer's requests in the domains that an instance owns. */
export const requestListSchema = v.object({
  requests: v.array(requestViewSchema),
});

/** A customer's requests in the domains that an instance owns. */
export type RequestList = v.InferOutput<typeof requestListSchema>;

/** Schema of the tasks of the domains that an instance owns. */
export const taskListSchema = v.object({ tasks: v.array(taskRowSchema) });

/** The tasks of the domains that an instance owns. */
export type TaskList = v.InferOutput<typeof taskListSchema>;

/** Schema of the workers of the domains that an instance owns. */
export const workerListSchema = v.object({ workers: v.array(workerRowSchema) });

/** The workers of the domains that an instance owns. */
export type WorkerList = v.InferOutput<typeof workerListSchema>;

/** Schema of the published manifest changes, oldest first. */
export const manifestHistorySchema = v.object({
  versions: v.array(manifestChangeSchema),
});

/** The published manifest changes, oldest first. */
export type ManifestHistory = v.InferOutput<typeof manifestHistorySchema>;
