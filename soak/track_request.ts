import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import { type Outcome, outcomeSchema } from "../src/model/mod.ts";
import type { JsonClient, WorkItem } from "../stand_ins/local_cluster/mod.ts";

const RETRY_DELAY_MS = 100;
const OUTCOME_WAIT_MS = 1_000;
const FIRST_ERROR_STATUS = 400;
const REQUEST_ID_BYTES = 8;

const viewSchema = v.object({ outcome: outcomeSchema });
const problemSchema = v.object({ ran: v.optional(v.boolean()) });

/** A request and the last result reported to its caller. */
export type TrackedRequest = {
  id: string;
  workItem: WorkItem;
  /** `rejected`: it was reported that nothing ran, and the caller gave up. */
  result:
    | Outcome
    | "rejected"
    /** It was cancelled before any instance accepted it. */
    | "never accepted"
    | "no final outcome";
};

/** Options for `trackRequest`. */
export type TrackOptions = {
  api: JsonClient;
  /** Base URLs of the entry instances. */
  urls: string[];
  /** Time until the request is cancelled, in ms; never if undefined. */
  cancelAfterMs: number | undefined;
  /** Time at which the caller gives up, on the clock of `performance`. */
  deadlineMs: number;
};

/**
 * Submits a request with one id, retrying until the outcome is final or the
 * request was rejected without running, and cancels it if requested.
 */
export async function trackRequest(
  options: TrackOptions,
  workItem: WorkItem,
  firstInstance: number,
): Promise<TrackedRequest> {
  const { api, urls, cancelAfterMs, deadlineMs } = options;
  const id = randomBytes(REQUEST_ID_BYTES).toString("hex");
  const { token, submission: body } = workItem;
  const startMs = performance.now();
  for (
    let instanceIndex = firstInstance;
    performance.now() < deadlineMs;
    instanceIndex += 1
  ) {
    const url = `${urls[instanceIndex % urls.length]}/v1/requests/${id}`;
    const isCancelled = cancelAfterMs !== undefined &&
      performance.now() > startMs + cancelAfterMs;
    const waitMs = cancelAfterMs ?? OUTCOME_WAIT_MS;
    const reply = isCancelled
      ? await api.call("DELETE", url, { token })
      : await api.call("PUT", `${url}?waitMs=${waitMs}`, { token, body });
    if (reply.kind === "answered" && reply.status < FIRST_ERROR_STATUS) {
      const { outcome } = v.parse(viewSchema, reply.body);
      if (outcome.kind !== "notKnownYet") {
        return { id, workItem, result: outcome };
      }
      if (isCancelled && outcome.state === "issued") {
        return { id, workItem, result: "never accepted" };
      }
    } else if (reply.kind === "answered") {
      const problem = v.safeParse(problemSchema, reply.body);
      const isNotRun = problem.success && problem.output.ran === false;
      // Only some callers give up here; the others retry, so that the soak
      // covers both reactions to a rejection.
      if (isNotRun && firstInstance % 2 === 0) {
        return { id, workItem, result: "rejected" };
      }
    }
    await delay(RETRY_DELAY_MS);
  }
  return { id, workItem, result: "no final outcome" };
}
