import * as v from "valibot";
import { acceptedRequestSchema } from "./accepted_request.ts";
import { claimSchema } from "./claim.ts";
import { endedRequestSchema } from "./ended_request.ts";
import { historyEntrySchema } from "./history_entry.ts";
import { manifestEntrySchema } from "./manifest_entry.ts";
import { packedRequestSchema } from "./packed_request.ts";

const agreementUsageSchema = v.object({
  customer: v.string(),
  agreement: v.string(),
  cpuMillisMs: v.number(),
  memoryMbMs: v.number(),
  acceleratorMs: v.number(),
});

const openHourSchema = v.object({
  hourMs: v.number(),
  usage: v.array(
    v.object({ ...agreementUsageSchema.entries, token: v.number() }),
  ),
  observed: v.array(v.object({ token: v.number(), observedMs: v.number() })),
});

const usageStateSchema = v.object({
  workers: v.array(v.object({
    worker: v.string(),
    closedBeforeMs: v.number(),
    lastClosedMs: v.optional(v.number()),
    open: v.array(openHourSchema),
  })),
  days: v.array(v.object({
    dayMs: v.number(),
    observedMs: v.number(),
    unobservedMs: v.number(),
    used: v.array(agreementUsageSchema),
    agreed: v.array(agreementUsageSchema),
  })),
  refusedRecords: v.number(),
  agreedUpToMs: v.optional(v.number()),
  forgottenAtMs: v.number(),
});

/** Schema of the state that a snapshot carries. */
export const snapshotStateSchema = v.object({
  /** Whether the writer had folded every entry below the snapshot's offset. */
  complete: v.boolean(),
  clockMs: v.number(),
  version: v.number(),
  inForce: v.optional(manifestEntrySchema),
  history: v.array(historyEntrySchema),
  claims: v.array(claimSchema),
  requests: v.array(v.object({
    ...acceptedRequestSchema.entries,
    request: packedRequestSchema,
  })),
  ended: v.array(v.object({ requestId: v.string(), atMs: v.number() })),
  outcomes: v.array(endedRequestSchema),
  usage: usageStateSchema,
});

/** The state that a snapshot carries, as JSON. */
export type SnapshotState = v.InferOutput<typeof snapshotStateSchema>;

/** Usage in a snapshot, as JSON. */
export type SnapshotUsage = SnapshotState["usage"];
