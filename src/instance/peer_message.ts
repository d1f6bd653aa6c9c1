import * as v from "valibot";
import { manifestEntrySchema } from "../log_state/mod.ts";
import { heartbeatFrameSchema } from "../membership/mod.ts";
import {
  outcomeSchema,
  requestSchema,
  submissionSchema,
  taskOutcomeSchema,
  taskRecordSchema,
  taskSchema,
} from "../model/mod.ts";

const customer = v.string();
const requestId = v.string();

/** Schema of what an instance knows of one task. */
export const sightingSchema = v.variant("kind", [
  v.object({
    kind: v.literal("record"),
    worker: v.string(),
    token: v.number(),
    boot: v.string(),
    record: taskRecordSchema,
  }),
  v.object({
    kind: v.literal("queued"),
    taskId: v.string(),
    /** Number of the move by which the instance got the task. */
    epoch: v.number(),
  }),
  v.object({
    kind: v.literal("refused"),
    taskId: v.string(),
    epoch: v.number(),
    code: v.number(),
    cause: v.string(),
  }),
  v.object({
    /** How a task that was moved has ended, where no record is at hand. */
    kind: v.literal("ended"),
    taskId: v.string(),
    epoch: v.number(),
    outcome: taskOutcomeSchema,
  }),
  v.object({
    /** A service replica whose worker is about to leave. */
    kind: v.literal("leaving"),
    taskId: v.string(),
    worker: v.string(),
  }),
  v.object({
    /** The task was handed over, and surely did not start. */
    kind: v.literal("returned"),
    taskId: v.string(),
    epoch: v.number(),
  }),
]);

/** What an instance knows of one task. */
export type Sighting = v.InferOutput<typeof sightingSchema>;

/** Schema of a message from one entry instance to another. */
export const peerMessageSchema = v.variant("kind", [
  v.object({
    kind: v.literal("heartbeat"),
    /** Base URL of the sender. */
    sender: v.string(),
    frame: heartbeatFrameSchema,
  }),
  v.object({
    kind: v.literal("submit"),
    customer,
    requestId,
    submission: submissionSchema,
    waitMs: v.number(),
  }),
  v.object({
    kind: v.literal("read"),
    customer,
    requestId,
    waitMs: v.number(),
  }),
  v.object({ kind: v.literal("cancel"), customer, requestId }),
  v.object({
    /** Asks what the receiver knows of tasks, and which workers it holds. */
    kind: v.literal("lookup"),
    requestId: v.optional(v.string()),
    taskIds: v.array(v.string()),
  }),
  v.object({
    /** Hands unstarted tasks to a peer, which starts them for the home. */
    kind: v.literal("move"),
    from: v.string(),
    /** The incarnation that is asked; a later one knows nothing of it. */
    to: v.string(),
    home: v.string(),
    /** Number of the move among those of the request. */
    epoch: v.number(),
    request: requestSchema,
    tasks: v.array(taskSchema),
  }),
  v.object({
    /** Tells the home what became of its tasks. */
    kind: v.literal("report"),
    from: v.string(),
    updates: v.array(sightingSchema),
  }),
  v.object({
    /** Stops or forgets tasks that the receiver runs or queues for others. */
    kind: v.literal("withdraw"),
    taskIds: v.array(v.string()),
  }),
  v.object({
    /** Keeps durable work at a peer while the log is down. */
    kind: v.literal("copy"),
    request: requestSchema,
  }),
  v.object({ kind: v.literal("manifest"), afterVersion: v.number() }),
]);

/** A message from one entry instance to another. */
export type PeerMessage = v.InferOutput<typeof peerMessageSchema>;

/** Schema of the answer to a lookup. */
export const lookupAnswerSchema = v.object({
  holder: v.string(),
  /** Every worker that the instance holds, with its token. */
  held: v.array(v.object({
    worker: v.string(),
    token: v.number(),
    boot: v.string(),
    rememberedSinceMs: v.number(),
  })),
  /** Every holder that the instance has barred. */
  barred: v.array(v.string()),
  sightings: v.array(sightingSchema),
  /** When the instance started (wall clock, ms). */
  startedAtMs: v.number(),
  /** When workers vanished from the list since then (wall clock, ms). */
  goneWorkers: v.array(v.object({ worker: v.string(), atMs: v.number() })),
  /** Whether the request is durable work that is accepted and not ended. */
  kept: v.boolean(),
  /** The final outcome, where the instance is or was the home. */
  outcome: v.optional(outcomeSchema),
});

/** The answer to a lookup. */
export type LookupAnswer = v.InferOutput<typeof lookupAnswerSchema>;

/** Schema of a manifest passed on by a peer. */
export const manifestAnswerSchema = v.object({
  version: v.number(),
  entry: v.optional(manifestEntrySchema),
});

/** A manifest passed on by a peer. */
export type ManifestAnswer = v.InferOutput<typeof manifestAnswerSchema>;

/** Schema of a plain yes or no. */
export const acceptanceSchema = v.object({
  accepted: v.boolean(),
  /** Whether another incarnation was asked, of which nothing is known here. */
  stranger: v.optional(v.boolean()),
});

/** A plain yes or no. */
export type Acceptance = v.InferOutput<typeof acceptanceSchema>;
