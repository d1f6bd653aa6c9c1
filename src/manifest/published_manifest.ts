import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";

/** Version in force before the first manifest is published. */
export const NO_VERSION = -1;

/** Schema of a published manifest, with its author and change. */
export const publishedManifestSchema = v.object({
  /** Starts at 0 and increases by one with each change. */
  version: v.number(),
  manifest: manifestSchema,
  author: v.string(),
  /** Identifies the change, so that a repeated publication is recognised. */
  changeId: v.string(),
  /** Time of publication, in milliseconds since the epoch. */
  atMs: v.number(),
});

/** A published manifest, with its author and change. */
export type PublishedManifest = v.InferOutput<typeof publishedManifestSchema>;

/** Schema of a manifest change that came into force. */
export const manifestChangeSchema = v.object({
  version: v.number(),
  author: v.string(),
  changeId: v.string(),
  /** Time of publication, in milliseconds since the epoch. */
  atMs: v.number(),
});

/** A manifest change that came into force. */
export type ManifestChange = v.InferOutput<typeof manifestChangeSchema>;
