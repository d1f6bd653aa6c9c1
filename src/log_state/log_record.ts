import * as v from "valibot";
import {
  manifestSchema,
  outcomeSchema,
  requestSchema,
  taskOutcomeSchema,
  usageSchema,
} from "../model/mod.ts";
import { manifestPatchSchema } from "./manifest_patch.ts";

/** Schema of an entry's data in the log. */
export const logRecordSchema = v.variant("kind", [
  v.object({
    /** A manifest, published on top of the version it was built on. */
    kind: v.literal("manifest"),
    /** Makes a repeat of the same change harmless. */
    changeId: v.string(),
    /** Offset of the manifest record that this one replaces; -1 for none. */
    baseVersion: v.number(),
    author: v.string(),
    manifest: manifestSchema,
  }),
  v.object({
    /** A change of the manifest, by its difference from the base version. */
    kind: v.literal("manifestPatch"),
    changeId: v.string(),
    /** Offset of the record whose manifest this one changes. */
    baseVersion: v.number(),
    author: v.string(),
    patch: manifestPatchSchema,
  }),
  v.object({
    /** The fold up to an offset, appended again before the log trims it. */
    kind: v.literal("snapshot"),
    /** Every entry below this offset is contained. */
    upToOffset: v.number(),
    state: v.unknown(),
  }),
  v.object({
    /** A caller's idempotency key bound to a request; the first one holds. */
    kind: v.literal("claim"),
    customer: v.string(),
    key: v.string(),
    digest: v.string(),
    requestId: v.string(),
    /** The claimed request that surely did not run, if this one follows it. */
    replaces: v.optional(v.string()),
  }),
  v.object({
    /** Durable work, kept until every task has ended. */
    kind: v.literal("accepted"),
    request: requestSchema,
  }),
  v.object({
    /** A new home for durable work whose home is settled; the first holds. */
    kind: v.literal("adopted"),
    requestId: v.string(),
    /** Number of the adoption, from 1. */
    epoch: v.number(),
    /** `instance/incarnation` of the new home. */
    holder: v.string(),
  }),
  v.object({
    /** Tasks of durable work that have ended while others have not. */
    kind: v.literal("progressed"),
    requestId: v.string(),
    /** Who answers for the work; ignored once another one has adopted it. */
    holder: v.string(),
    outcomes: v.array(taskOutcomeSchema),
  }),
  v.object({
    /** A request whose home is gone and that surely never ran. */
    kind: v.literal("voided"),
    requestId: v.string(),
  }),
  v.object({
    /** Durable work whose outcome is final. */
    kind: v.literal("ended"),
    requestId: v.string(),
    /** Who answers for the work; ignored once another one has adopted it. */
    holder: v.string(),
    outcome: outcomeSchema,
  }),
  v.object({
    kind: v.literal("usage"),
    /** The instance that observed it. */
    observer: v.string(),
    usage: v.array(usageSchema),
    /** Time during which each worker was observed in an hour, cumulative. */
    observed: v.array(v.object({
      worker: v.string(),
      token: v.number(),
      hourMs: v.number(),
      observedMs: v.number(),
    })),
  }),
]);

/** The data of one entry of the log. */
export type LogRecord = v.InferOutput<typeof logRecordSchema>;

/** A record of one kind. */
export type LogRecordOf<K extends LogRecord["kind"]> = Extract<
  LogRecord,
  { kind: K }
>;

/** A snapshot of the fold. */
export type SnapshotRecord = LogRecordOf<"snapshot">;
