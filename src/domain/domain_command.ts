import * as v from "valibot";

/** Schema of an order to a worker. */
export const workerOrderSchema = v.variant("kind", [
  v.object({
    kind: v.literal("start"),
    worker: v.string(),
    task: v.string(),
    attempt: v.number(),
    specification: v.string(),
    ticket: v.optional(v.string()),
    checkpoint: v.optional(v.string()),
  }),
  v.object({
    kind: v.literal("stop"),
    worker: v.string(),
    task: v.string(),
    attempt: v.number(),
  }),
  v.object({
    kind: v.literal("pace"),
    worker: v.string(),
    task: v.string(),
    attempt: v.number(),
    percent: v.number(),
  }),
]);

/** An order to a worker. It leaves after its cause is in the store. */
export type WorkerOrder = v.InferOutput<typeof workerOrderSchema>;

/** What a domain asks its driver to do. */
export type DomainCommand =
  | { kind: "order"; order: WorkerOrder }
  /** Answers a call once everything before it is in the store. */
  | { kind: "answer"; call: number; answer: CallAnswer }
  /** The store has to confirm the state before these ends are acknowledged. */
  | { kind: "acknowledge"; worker: string; bornMs: number; lastEnd: number }
  /** One line of the log about a decision. */
  | {
    kind: "report";
    message: string;
    fields: Record<string, string | number>;
  };

/** The answer to a call that changes a job. */
export type CallAnswer =
  | { kind: "accepted" }
  | { kind: "unknownJob" };
