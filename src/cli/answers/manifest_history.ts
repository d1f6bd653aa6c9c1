import * as v from "valibot";
import { historyEntrySchema } from "../../log_state/mod.ts";

/** Schema of the published changes of the manifest, oldest first. */
export const manifestHistorySchema = v.object({
  versions: v.array(historyEntrySchema),
});

/** The published changes of the manifest, oldest first. */
export type ManifestHistory = v.InferOutput<typeof manifestHistorySchema>;
