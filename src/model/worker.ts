import * as v from "valibot";
import { resourcesSchema } from "./resources.ts";
import { taskRecordSchema, taskSchema } from "./task.ts";

/** Schema of a worker as the instance list shows it. */
export const workerAddressSchema = v.object({
  id: v.string(),
  /** Base URL by IP number, such as `http://127.0.0.1:9001`. */
  url: v.string(),
  zone: v.string(),
  region: v.string(),
  rack: v.string(),
});

/** Where a worker is reached, and where it stands. */
export type WorkerAddress = v.InferOutput<typeof workerAddressSchema>;

/** Schema of what a worker can hold. */
export const workerCapacitySchema = v.object({
  resources: resourcesSchema,
  /** How many tasks may run at once. */
  slots: v.number(),
  /** How many connections the worker accepts. */
  connections: v.number(),
});

/** What a worker can hold. */
export type WorkerCapacity = v.InferOutput<typeof workerCapacitySchema>;

/** Schema of a worker's cumulative usage record. */
export const usageSchema = v.object({
  worker: v.string(),
  /** The fencing token under which the usage arose. */
  token: v.number(),
  /** Start of the hour, in milliseconds since the epoch. */
  hourMs: v.number(),
  customer: v.string(),
  agreement: v.string(),
  /** Cumulative core-milliseconds times 1000 (cpuMillis * ms). */
  cpuMillisMs: v.number(),
  /** Cumulative MiB-milliseconds. */
  memoryMbMs: v.number(),
  /** Cumulative accelerator-milliseconds. */
  acceleratorMs: v.number(),
});

/**
 * Usage of one agreement on one worker under one token in one hour. It only
 * grows, so repeats and reorderings are harmless: the largest record holds.
 */
export type Usage = v.InferOutput<typeof usageSchema>;

/** Schema of the answer to a successful acquisition. */
export const acquisitionSchema = v.object({
  /** The new fencing token, above every earlier one. */
  token: v.number(),
  /** How long the lease lasts after each renewal, in milliseconds. */
  leaseMs: v.number(),
  capacity: workerCapacitySchema,
  /** Changes when the worker's process starts anew and has forgotten all. */
  boot: v.string(),
  /** Since when the worker remembers tasks (its wall clock, ms). */
  rememberedSinceMs: v.number(),
  /** Holders that the worker refuses. */
  barred: v.array(v.string()),
  /** Everything that the worker runs or remembers. */
  records: v.array(taskRecordSchema),
  /** Number of the latest event; renewals ask for those after it. */
  lastEvent: v.number(),
});

/** The answer to a successful acquisition of a worker. */
export type Acquisition = v.InferOutput<typeof acquisitionSchema>;

/** Schema of the answer to a renewal. */
export const renewalSchema = v.object({
  leaseMs: v.number(),
  /** Records of the tasks that changed since the event asked for. */
  changed: v.array(taskRecordSchema),
  lastEvent: v.number(),
  /** Usage records that changed; they lag. */
  usage: v.array(usageSchema),
  /** Whether the worker is about to leave and wants no new work. */
  leaving: v.boolean(),
});

/** The answer to a renewal of a worker's lease. */
export type Renewal = v.InferOutput<typeof renewalSchema>;

/** Schema of a start command. */
export const startSchema = v.object({ token: v.number(), task: taskSchema });

/** A command to start a task under a token. */
export type Start = v.InferOutput<typeof startSchema>;
