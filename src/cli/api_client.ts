import type { Result } from "neverthrow";
import * as v from "valibot";
import { type Account, accountSchema } from "../account/mod.ts";
import {
  type InstanceView,
  instanceViewSchema,
  type PlacementQuestion,
} from "../api/mod.ts";
import { validateResponse } from "../clients/validate_response.ts";
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
  type PlacementAnswer,
  placementAnswerSchema,
  type RequestList,
  requestListSchema,
  type TaskList,
  taskListSchema,
  type TimelineEventList,
  timelineEventListSchema,
  type WorkerList,
  workerListSchema,
} from "./answers/mod.ts";
import { type ApiTransport, createApiTransport } from "./api_transport.ts";

const CALL_TIMEOUT_MS = 10_000;
const MAX_RESPONSE_BYTES = 268_435_456;

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

type ApiResult<Value> = Promise<Result<Value, Fault>>;

/** A client of the HTTP API of an entry instance; see docs/API.md. */
export type ApiClient = {
  connection: Connection;
  /** Issues a request id to submit work under. */
  issue(): ApiResult<{ id: string }>;
  /**
   * Submits work under an issued id.
   *
   * @param waitMs how long to wait for the outcome, in milliseconds
   */
  submit(
    id: string,
    submission: Submission,
    waitMs: number,
  ): ApiResult<RequestView>;
  /**
   * Submits work under an idempotency key that the caller chose.
   *
   * @param waitMs how long to wait for the outcome, in milliseconds
   */
  submitUnderKey(
    key: string,
    submission: Submission,
    waitMs: number,
  ): ApiResult<RequestView>;
  read(id: string, waitMs: number): ApiResult<RequestView>;
  cancel(id: string): ApiResult<RequestView>;
  /** Lists the customer's requests in the domains that the instance owns. */
  list(): ApiResult<RequestList>;
  status(): ApiResult<InstanceView>;
  workers(): ApiResult<WorkerList>;
  tasks(): ApiResult<TaskList>;
  explain(id: string): ApiResult<Explanation>;
  /** Asks where work would go now; nothing is submitted. */
  where(question: PlacementQuestion): ApiResult<PlacementAnswer>;
  manifestInForce(): ApiResult<PublishedManifest>;
  manifestHistory(): ApiResult<ManifestHistory>;
  publish(change: ManifestChangeRequest): ApiResult<{ version: number }>;
  /** @param month the month, such as `2026-04` */
  account(month: string): ApiResult<Account>;
  /** @param after Lamport timestamp that precedes the events; 0 for all */
  timeline(after: number): ApiResult<TimelineEventList>;
  drain(): ApiResult<unknown>;
  /** Builds a client of another instance, with the same token and transport. */
  at(url: string): ApiClient;
  /** Closes every connection, including those of clients built by `at`. */
  close(): Promise<void>;
};

type ApiCall = Pick<HttpRequest, "step" | "method" | "path"> & {
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
  return createClientWithTransport(createApiTransport(signal), connection);
}

function createClientWithTransport(
  transport: ApiTransport,
  connection: Connection,
): ApiClient {
  async function send<Value>(
    schema: v.GenericSchema<unknown, Value>,
    call: ApiCall,
  ): ApiResult<Value> {
    const request = buildHttpRequest(connection, call);
    return validateResponse(request, schema, await transport.call(request));
  }

  return {
    connection,
    issue: () =>
      send(issuedRequestSchema, post("request.issue", "/v1/requests")),
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
    where: (question) =>
      send(
        placementAnswerSchema,
        post("operator.where", "/v1/operator/where", question),
      ),
    manifestInForce: () =>
      send(publishedManifestSchema, operatorGet("manifest")),
    manifestHistory: () =>
      send(manifestHistorySchema, operatorGet("manifest/history")),
    publish: (change) =>
      send(
        publishedVersionSchema,
        post("manifest.publish", "/v1/operator/manifest", change),
      ),
    account: (month) =>
      send(accountSchema, operatorGet(`account?month=${month}`)),
    timeline: (after) =>
      send(timelineEventListSchema, operatorGet(`timeline?after=${after}`)),
    drain: () =>
      send(v.unknown(), post("instance.drain", "/v1/operator/drain")),
    at: (url) => createClientWithTransport(transport, { ...connection, url }),
    close: () => transport.close(),
  };
}

const issuedRequestSchema = v.object({ id: v.string() });
const publishedVersionSchema = v.object({ version: v.number() });

function requestPath(id: string): string {
  return `/v1/requests/${encodeURIComponent(id)}`;
}

function operatorGet(path: string): ApiCall {
  const [name = path] = path.split(/[/?]/);
  return get(`operator.${name}`, `/v1/operator/${path}`);
}

function get(step: string, path: string): ApiCall {
  return { step, method: "GET", path };
}

function post(step: string, path: string, body?: unknown): ApiCall {
  const call: ApiCall = { step, method: "POST", path };
  return body === undefined ? call : { ...call, body };
}

function buildHttpRequest(connection: Connection, call: ApiCall): HttpRequest {
  const { waitMs = 0, headers, ...rest } = call;
  const { url, token } = connection;
  return {
    ...rest,
    url,
    peer: url,
    headers: { ...authorizationHeader(token), ...headers },
    timeoutMs: waitMs + CALL_TIMEOUT_MS,
    maxResponseBytes: MAX_RESPONSE_BYTES,
    repeatable: call.method === "GET",
  };
}

function authorizationHeader(
  token: string | undefined,
): Record<string, string> {
  return token === undefined ? {} : { authorization: `Bearer ${token}` };
}
