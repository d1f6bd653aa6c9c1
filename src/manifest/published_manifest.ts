import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";

/** Version in force before the first manifest. */
export const NO_VERSION = -1;

/** Schema of a manifest in force, with its origin. */
export const publishedManifestSchema = v.object({
  /** Rises by one with each change, from 0. */
  version: v.number(),
  manifest: manifestSchema,
  author: v.string(),
  /** Names the change, so that a repeat of it is recognised. */
  changeId: v.string(),
  /** When it was published, in milliseconds since the epoch. */
  atMs: v.number(),
});

/** A manifest in force, with its origin. */
export type PublishedManifest = v.InferOutput<typeof publishedManifestSchema>;

/** Schema of a change of the manifest that came into force. */
export const manifestChangeSchema = v.object({
  version: v.number(),
  author: v.string(),
  changeId: v.string(),
  /** When it was published, in milliseconds since the epoch. */
  atMs: v.number(),
});

/** A change of the manifest that came into force. */
export type ManifestChange = v.InferOutput<typeof manifestChangeSchema>;
