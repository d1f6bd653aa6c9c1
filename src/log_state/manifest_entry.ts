import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";

/** Schema of a manifest with its origin. */
export const manifestEntrySchema = v.object({
  manifest: manifestSchema,
  author: v.string(),
  changeId: v.string(),
});

/** A manifest with its origin, as peers pass it on. */
export type ManifestEntry = v.InferOutput<typeof manifestEntrySchema>;
