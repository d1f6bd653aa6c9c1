import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import { type Outcome, outcomeSchema } from "../src/model/mod.ts";
import type { HttpClient, WorkItem } from "../stand_ins/local_cluster/mod.ts";

const RETRY_DELAY_MS = 100;
const OUTCOME_WAIT_MS = 1_000;
const FIRST_ERROR_STATUS = 400;
const REQUEST_ID_BYTES = 8;

const viewSchema = v.object({ outcome: outcomeSchema });
const problemSchema = v.object({ ran: v.optional(v.boolean()) });

/** The last that a caller heard of a request. */
export type TrackedRequest = {
  id: string;
  workItem: WorkItem;
  /** `refused`: the caller was told that nothing ran, and went away. */
  result:
    | Outcome
    | "rejected"
    /** It was cancelled, and nobody had taken it on. */
    | "never accepted"
    | "no final outcome";
};

/** How a request is followed. */
export type TrackOptions = {
  api: HttpClient;
  urls: string[];
  /** After this time it is cancelled, in ms; never if undefined. */
  cancelAfterMs: number | undefined;
  /** Resolves when the caller gives up. */
  deadlineMs: number;
};

/**
 * Submits a request under one id until an answer is final or says that nothing
 * ran, and cancels it on the way if that is asked for.
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
      // Every other caller repeats, so that refusals are taken both ways.
      if (isNotRun && firstInstance % 2 === 0) {
        return { id, workItem, result: "rejected" };
      }
    }
    await delay(RETRY_DELAY_MS);
  }
  return { id, workItem, result: "no final outcome" };
}
