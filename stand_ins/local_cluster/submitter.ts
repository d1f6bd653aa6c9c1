import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import {
  type Outcome,
  outcomeSchema,
  type Submission,
} from "../../src/model/mod.ts";
import type { HttpApi, Reply } from "./http_api.ts";

const WAIT_MS = 2_000;
const RETRY_DELAY_MS = 100;
const CREATED = 201;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

const issuedSchema = v.object({ id: v.string() });
const viewSchema = v.object({ id: v.string(), outcome: outcomeSchema });

/** What a caller wants to have done once. */
export type Order = {
  /** Name of the order in reports. */
  key: string;
  token: string;
  submission: Submission;
};

/** What came of an order, as its caller heard it. */
export type HeardOrder = {
  order: Order;
  /** Request ids under which it was submitted; the last one counts. */
  ids: string[];
  /** The final outcome, if there was one within the time. */
  outcome: Outcome | undefined;
  /** The latest answer of any kind, for reports. */
  latest: string;
  /** Every answer that blames the caller, which did nothing wrong. */
  complaints: string[];
  /** Every call that broke off after its connection was open. */
  cuts: string[];
  /** The order of the tasks that the answer says did not run. */
  rest?: HeardOrder;
};

/** Where and how long orders are submitted. */
export type SubmitterOptions = {
  api: HttpApi;
  /** Base URLs of the entry instances that callers are sent to now. */
  urls(): string[];
  /** How long an order is pursued, in milliseconds. */
  patienceMs: number;
};

/**
 * Submits an order as a careful caller does: it repeats under the same id, at
 * any instance, until the outcome is final, and takes a new id only after it
 * was told that nothing ran. Tasks of a whole answer that did not run are
 * ordered again by themselves.
 *
 * @param first index of the instance that is tried first
 */
export async function submitOrder(
  options: SubmitterOptions,
  order: Order,
  first: number,
): Promise<HeardOrder> {
  const heard: HeardOrder = {
    order,
    ids: [],
    outcome: undefined,
    latest: "none",
    complaints: [],
    cuts: [],
  };
  const untilMs = performance.now() + options.patienceMs;
  let turn = first;
  let id: string | undefined;
  while (performance.now() < untilMs) {
    const urls = options.urls();
    const url = urls[turn % urls.length]!;
    if (id === undefined) {
      id = await issueId(options.api, url, order, heard);
      if (id !== undefined) heard.ids.push(id);
    }
    const outcome = id === undefined
      ? undefined
      : await submitOnce(options.api, url, order, id, heard);
    if (outcome?.kind === "ran") {
      const rest = restOf(order, outcome);
      if (rest === undefined) return { ...heard, outcome };
      const patienceMs = untilMs - performance.now();
      const again = { ...options, patienceMs };
      const heardRest = await submitOrder(again, rest, turn + 1);
      return { ...heard, outcome, rest: heardRest };
    }
    if (outcome?.kind === "didNotRun") id = undefined;
    if (outcome?.kind !== "notKnownYet") turn += 1;
    if (outcome === undefined) await delay(RETRY_DELAY_MS);
  }
  return heard;
}

/** Makes an order of the tasks that an answer says did not run. */
function restOf(
  order: Order,
  outcome: Extract<Outcome, { kind: "ran" }>,
): Order | undefined {
  const unrun = outcome.tasks.filter((task) => task.kind === "didNotRun");
  if (unrun.length === 0) return undefined;
  const tasks = unrun.map((task) => order.submission.tasks[task.index]!);
  const submission = { ...order.submission, tasks };
  return { ...order, key: `${order.key} again`, submission };
}

async function issueId(
  api: HttpApi,
  url: string,
  order: Order,
  heard: HeardOrder,
): Promise<string | undefined> {
  const reply = await api.call("POST", `${url}/v1/requests`, {
    token: order.token,
  });
  note(heard, reply);
  if (reply.kind === "failed" || reply.status !== CREATED) return undefined;
  return v.parse(issuedSchema, reply.body).id;
}

async function submitOnce(
  api: HttpApi,
  url: string,
  order: Order,
  id: string,
  heard: HeardOrder,
): Promise<Outcome | undefined> {
  const path = `${url}/v1/requests/${id}?waitMs=${WAIT_MS}`;
  const { token, submission: body } = order;
  const reply = await api.call("PUT", path, { token, body });
  note(heard, reply);
  if (reply.kind === "failed" || reply.status >= FIRST_CLIENT_ERROR) {
    return undefined;
  }
  return v.parse(viewSchema, reply.body).outcome;
}

/** Notes an answer, above all one that blames the caller or broke off. */
function note(heard: HeardOrder, reply: Reply): void {
  heard.latest = JSON.stringify(reply);
  if (reply.kind === "failed") {
    if (!reply.unsent) heard.cuts.push(reply.cause);
    return;
  }
  const { status } = reply;
  if (status < FIRST_CLIENT_ERROR || status >= FIRST_SERVER_ERROR) return;
  heard.complaints.push(`${status} ${JSON.stringify(reply.body)}`);
}
