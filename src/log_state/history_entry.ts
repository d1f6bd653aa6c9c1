import * as v from "valibot";

/** Schema of a published change of the manifest, as the log decided it. */
export const historyEntrySchema = v.object({
  /** Offset of the change's record. */
  version: v.number(),
  /** The version that the change was built on; -1 for none. */
  baseVersion: v.number(),
  author: v.string(),
  changeId: v.string(),
  /** When the log appended the record, in milliseconds since the epoch. */
  atMs: v.number(),
  /** Whether the change came into force. */
  accepted: v.boolean(),
});

/** A published change of the manifest, as the log decided it. */
export type HistoryEntry = v.InferOutput<typeof historyEntrySchema>;
