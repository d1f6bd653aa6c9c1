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
    /**
     * Whether workers may have crashed under the task: the start is sent only
     * right after its worker has answered. Earlier versions omit it.
     */
    isSuspect: v.optional(v.boolean()),
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

/** An order to a worker. It is sent after its cause has been committed. */
export type WorkerOrder = v.InferOutput<typeof workerOrderSchema>;

/** A command that a domain issues to its driver. */
export type DomainCommand =
  | { kind: "order"; order: WorkerOrder }
  /** Answers a call once all earlier changes have been committed. */
  | { kind: "answer"; call: number; answer: CallAnswer }
  /** Acknowledges ends to a worker once all earlier changes are committed. */
  | { kind: "acknowledge"; worker: string; bornMs: number; lastEnd: number }
  /** Increments a counter by one. */
  | { kind: "count"; name: string; labels: Record<string, string> }
  /** Logs a decision. */
  | {
    kind: "report";
    message: string;
    fields: Record<string, string | number>;
  }
  /** Counts a submission beyond the rate of its client account. */
  | {
    kind: "countExcess";
    account: string;
    outcome: "accepted" | "refused";
  };

/** The answer to a call that changes a job. */
export type CallAnswer =
  | { kind: "accepted" }
  | { kind: "unknownJob" }
  /** Another client account has a job with the id; the call had no effect. */
  | { kind: "conflict" }
  /**
   * The job was not accepted: its client account exceeds its rate while
   * capacity is short.
   */
  | { kind: "overloaded"; retryAfterMs: number };
