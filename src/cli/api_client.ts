import type { Result } from "neverthrow";
import * as v from "valibot";
import { type Account, accountSchema } from "../account/mod.ts";
import { type InstanceView, instanceViewSchema } from "../api/mod.ts";
import { checkAnswer } from "../clients/check_answer.ts";
import type { HttpRequest } from "../clients/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import {
  type PublishedManifest,
  publishedManifestSchema,
} from "../manifest/mod.ts";
import {
  type Manifest,
  type RequestView,
  requestViewSchema,
  type Submission,
} from "../model/mod.ts";
import {
  type Explanation,
  explanationSchema,
  type ManifestHistory,
  manifestHistorySchema,
  type RequestList,
  requestListSchema,
  type TaskList,
  taskListSchema,
  type TimeLinePage,
  timeLinePageSchema,
  type WorkerList,
  workerListSchema,
} from "./answers/mod.ts";
import { type ApiCaller, createApiCaller } from "./api_caller.ts";

const CALL_TIMEOUT_MS = 10_000;
const MAX_ANSWER_BYTES = 268_435_456;

/** The URL of an entry instance, and the token to authenticate with. */
export type Connection = {
  /** Base URL of the instance. */
  url: string;
  /** Bearer token; absent if the user gave none. */
  token?: string;
};

/** The body of a call that publishes a manifest. */
export type ManifestChangeRequest = {
  changeId: string;
  /** The version that the change was built on; -1 for none. */
  baseVersion: number;
  /** Defaults to the operator that the token belongs to. */
  author?: string;
  manifest: Manifest;
};

type Answer<Value> = Promise<Result<Value, Fault>>;

/** A client of the HTTP API of an entry instance; see docs/API.md. */
export type ApiClient = {
  connection: Connection;
  issue(): Answer<{ id: string }>;
  /**
   * Submits work under an issued id.
   *
   * @param waitMs how long to wait for the outcome, in milliseconds
   */
  submit(
    id: string,
    submission: Submission,
    waitMs: number,
  ): Answer<RequestView>;
  /**
   * Submits work under an idempotency key that the caller chose.
   *
   * @param waitMs how long to wait for the outcome, in milliseconds
   */
  submitUnderKey(
    key: string,
    submission: Submission,
    waitMs: number,
  ): Answer<RequestView>;
  read(id: string, waitMs: number): Answer<RequestView>;
  cancel(id: string): Answer<RequestView>;
  /** Lists the customer's requests in the domains that the instance owns. */
  list(): Answer<RequestList>;
  status(): Answer<InstanceView>;
  workers(): Answer<WorkerList>;
  tasks(): Answer<TaskList>;
  explain(id: string): Answer<Explanation>;
  manifestInForce(): Answer<PublishedManifest>;
  manifestHistory(): Answer<ManifestHistory>;
  publish(change: ManifestChangeRequest): Answer<{ version: number }>;
  /** @param month the month, such as `2026-04` */
  account(month: string): Answer<Account>;
  /** @param after number of the last event already read; 0 for none */
  timeLine(after: number): Answer<TimeLinePage>;
  drain(): Answer<unknown>;
  /** Builds a client of another instance, with the same token and transport. */
  at(url: string): ApiClient;
  /** Closes every connection, including those of clients built by `at`. */
  close(): Promise<void>;
};

type Call = Pick<HttpRequest, "step" | "method" | "path"> & {
  body?: unknown;
  headers?: Record<string, string>;
  /** How long the instance may wait before it responds, in milliseconds. */
  waitMs?: number;
};

/**
 * Builds a client of an entry instance.
 *
 * @example
 * ```ts
 * const client = createApiClient({ url: "http://127.0.0.1:8001" }, signal);
 * const status = await client.status();
 * await client.close();
 * ```
 *
 * @param signal aborts calls in flight
 */
export function createApiClient(
  connection: Connection,
  signal: AbortSignal,
): ApiClient {
  return createClientOver(createApiCaller(signal), connection);
}

function createClientOver(
  caller: ApiCaller,
  connection: Connection,
): ApiClient {
  async function send<Value>(
    schema: v.GenericSchema<unknown, Value>,
    call: Call,
  ): Answer<Value> {
    const request = requestOf(connection, call);
    return checkAnswer(request, schema, await caller.call(request));
  }

  return {
    connection,
    issue: () => send(issuedSchema, post("request.issue", "/v1/requests")),
    submit: (id, submission, waitMs) =>
      send(requestViewSchema, {
        step: "request.submit",
        method: "PUT",
        path: `${requestPath(id)}?waitMs=${waitMs}`,
        body: submission,
        waitMs,
      }),
    submitUnderKey: (key, submission, waitMs) =>
      send(requestViewSchema, {
        ...post("request.submit", `/v1/requests?waitMs=${waitMs}`, submission),
        headers: { "idempotency-key": key },
        waitMs,
      }),
    read: (id, waitMs) =>
      send(requestViewSchema, {
        ...get("request.read", `${requestPath(id)}?waitMs=${waitMs}`),
        waitMs,
      }),
    cancel: (id) =>
      send(requestViewSchema, {
        step: "request.cancel",
        method: "DELETE",
        path: requestPath(id),
      }),
    list: () => send(requestListSchema, get("request.list", "/v1/requests")),
    status: () => send(instanceViewSchema, operatorGet("status")),
    workers: () => send(workerListSchema, operatorGet("workers")),
    tasks: () => send(taskListSchema, operatorGet("tasks")),
    explain: (id) =>
      send(explanationSchema, operatorGet(`explain/${encodeURIComponent(id)}`)),
    manifestInForce: () =>
      send(publishedManifestSchema, operatorGet("manifest")),
    manifestHistory: () =>
      send(manifestHistorySchema, operatorGet("manifest/history")),
    publish: (change) =>
      send(
        publishedSchema,
        post("manifest.publish", "/v1/operator/manifest", change),
      ),
    account: (month) =>
      send(accountSchema, operatorGet(`account?month=${month}`)),
    timeLine: (after) =>
      send(timeLinePageSchema, operatorGet(`timeline?after=${after}`)),
    drain: () =>
      send(v.unknown(), post("instance.drain", "/v1/operator/drain")),
    at: (url) => createClientOver(caller, { ...connection, url }),
    close: () => caller.close(),
  };
}

const issuedSchema = v.object({ id: v.string() });
const publishedSchema = v.object({ version: v.number() });

function requestPath(id: string): string {
  return `/v1/requests/${encodeURIComponent(id)}`;
}

function operatorGet(path: string): Call {
  const [name = path] = path.split(/[/?]/);
  return get(`operator.${name}`, `/v1/operator/${path}`);
}

function get(step: string, path: string): Call {
  return { step, method: "GET", path };
}

function post(step: string, path: string, body?: unknown): Call {
  const call: Call = { step, method: "POST", path };
  return body === undefined ? call : { ...call, body };
}

function requestOf(connection: Connection, call: Call): HttpRequest {
  const { waitMs = 0, headers, ...rest } = call;
  const { url, token } = connection;
  return {
    ...rest,
    url,
    peer: url,
    headers: { ...authorization(token), ...headers },
    timeoutMs: waitMs + CALL_TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    repeatable: call.method === "GET",
  };
}

function authorization(token: string | undefined): Record<string, string> {
  return token === undefined ? {} : { authorization: `Bearer ${token}` };
}
