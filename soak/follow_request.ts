import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import { type Outcome, outcomeSchema } from "../src/model/mod.ts";
import type { HttpApi, Order } from "../stand_ins/local_cluster/mod.ts";

const RETRY_MS = 100;
const WAIT_MS = 1_000;
const FIRST_ERROR = 400;
const BYTES_PER_ID = 8;

const viewSchema = v.object({ outcome: outcomeSchema });
const problemSchema = v.object({ ran: v.optional(v.boolean()) });

/** The last that a caller heard of a request. */
export type FollowedRequest = {
  id: string;
  order: Order;
  /** `refused`: the caller was told that nothing ran, and went away. */
  heard:
    | Outcome
    | "refused"
    /** It was cancelled, and nobody had taken it on. */
    | "never taken on"
    | "nothing final";
};

/** How a request is followed. */
export type Following = {
  api: HttpApi;
  urls: string[];
  /** After this time it is cancelled, in ms; never if undefined. */
  cancelAfterMs: number | undefined;
  /** Resolves when the caller gives up. */
  untilMs: number;
};

/**
 * Submits a request under one id until an answer is final or says that nothing
 * ran, and cancels it on the way if that is asked for.
 */
export async function followRequest(
  following: Following,
  order: Order,
  first: number,
): Promise<FollowedRequest> {
  const { api, urls, cancelAfterMs, untilMs } = following;
  const id = randomBytes(BYTES_PER_ID).toString("hex");
  const { token, submission: body } = order;
  const startMs = performance.now();
  for (let turn = first; performance.now() < untilMs; turn += 1) {
    const url = `${urls[turn % urls.length]}/v1/requests/${id}`;
    const isCancelled = cancelAfterMs !== undefined &&
      performance.now() > startMs + cancelAfterMs;
    const waitMs = cancelAfterMs ?? WAIT_MS;
    const reply = isCancelled
      ? await api.call("DELETE", url, { token })
      : await api.call("PUT", `${url}?waitMs=${waitMs}`, { token, body });
    if (reply.kind === "answered" && reply.status < FIRST_ERROR) {
      const { outcome } = v.parse(viewSchema, reply.body);
      if (outcome.kind !== "notKnownYet") return { id, order, heard: outcome };
      if (isCancelled && outcome.state === "issued") {
        return { id, order, heard: "never taken on" };
      }
    } else if (reply.kind === "answered") {
      const problem = v.safeParse(problemSchema, reply.body);
      const isUnrun = problem.success && problem.output.ran === false;
      // Every other caller repeats, so that refusals are taken both ways.
      if (isUnrun && first % 2 === 0) return { id, order, heard: "refused" };
    }
    await delay(RETRY_MS);
  }
  return { id, order, heard: "nothing final" };
}
