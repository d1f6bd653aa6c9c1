import * as v from "valibot";
import { manifestSchema } from "../../model/mod.ts";

/** Schema of the manifest in force at an entry instance. */
export const manifestInForceSchema = v.object({
  /** Offset of the manifest in the log. */
  version: v.number(),
  manifest: manifestSchema,
  author: v.string(),
  changeId: v.string(),
});

/** The manifest in force at an entry instance. */
export type ManifestInForce = v.InferOutput<typeof manifestInForceSchema>;
