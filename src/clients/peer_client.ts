import { JSONRPCClient, type JSONRPCResponse } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { validateResponse } from "./validate_response.ts";
import { createFault } from "./create_fault.ts";
import type { HttpClient } from "./http_client.ts";
import type { HttpRequest } from "./http_request.ts";

const BYTES_PER_MEBIBYTE = 1_048_576;
const MAX_RESPONSE_BYTES = 16 * BYTES_PER_MEBIBYTE;
const FIRST_DIAGNOSTIC_CODE = 1_000;
/** JSON-RPC error codes of a refusal: the peer did not run the request. */
const REFUSING_RPC_ERROR_CODES = [-32_700, -32_600, -32_601, -32_602];

const responseSchema = v.object({
  jsonrpc: v.literal("2.0"),
  id: v.union([v.string(), v.number()]),
  result: v.optional(v.unknown()),
  error: v.optional(v.object({
    code: v.number(),
    message: v.string(),
    data: v.optional(v.unknown()),
  })),
});

/** Options of the peer client. */
export type PeerClientOptions = {
  /** Shared secret of the cluster, sent as bearer token. */
  secret: string;
};

/** Calls other entry instances over JSON-RPC. */
export type PeerClient = {
  /**
   * Calls a method of a peer.
   *
   * @param url the peer's base URL
   * @param params plain data, sent as JSON
   * @param timeoutMs timeout of the whole call, in milliseconds
   * @returns the unvalidated result; `null` if the peer returned none
   */
  call(
    url: string,
    method: string,
    params: object,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<unknown, Fault>>;
};

type PendingCall = {
  request: HttpRequest;
  signal: AbortSignal;
  /** Set if the call failed before a response was read. */
  fault?: Fault;
};

/**
 * Creates a client for the JSON-RPC interface of the entry instances. An error
 * with a diagnostic code, or with a JSON-RPC code for an invalid request, is a
 * refusal; any other error leaves the effect unknown.
 *
 * @example
 * ```ts
 * const peers = createPeerClient(httpClient, { secret: settings.secret });
 * const result = await peers.call(url, "heartbeat", message, 1_000, signal);
 * ```
 */
export function createPeerClient(
  httpClient: HttpClient,
  options: PeerClientOptions,
): PeerClient {
  const rpcClient = new JSONRPCClient<PendingCall>(
    async (payload, pendingCall) => {
      const response = await sendPayload(httpClient, payload, pendingCall);
      if (response.isErr()) {
        pendingCall.fault = response.error;
        throw new Error(response.error.message);
      }
      rpcClient.receive(response.value);
    },
  );
  let lastId = 0;

  return {
    async call(url, method, params, timeoutMs, signal) {
      const request = createRequest(options, url, method, timeoutMs);
      const pendingCall: PendingCall = { request, signal };
      lastId += 1;
      const payload = { jsonrpc: "2.0" as const, id: lastId, method, params };
      const response = await rpcClient.requestAdvanced(payload, pendingCall);
      if (pendingCall.fault !== undefined) return err(pendingCall.fault);
      return toResult(request, response);
    },
  };
}

async function sendPayload(
  httpClient: HttpClient,
  payload: { id: number },
  pendingCall: PendingCall,
): Promise<Result<JSONRPCResponse, Fault>> {
  const { request, signal } = pendingCall;
  const result = await httpClient.call({ ...request, body: payload }, signal);
  const response = validateResponse(request, responseSchema, result);
  if (response.isErr()) return err(response.error);
  // The JSON-RPC library ignores a response with another id and never settles.
  if (response.value.id !== payload.id) {
    const values = [request.peer, "it answers another request"];
    return err(
      createFault(request, "unknown", diagnostics.answerInvalid, values),
    );
  }
  return ok(response.value as JSONRPCResponse);
}

function createRequest(
  options: PeerClientOptions,
  url: string,
  method: string,
  timeoutMs: number,
): HttpRequest {
  return {
    step: `peer.${method}`,
    peer: url,
    method: "POST",
    url,
    path: "/rpc",
    headers: { authorization: `Bearer ${options.secret}` },
    timeoutMs,
    maxResponseBytes: MAX_RESPONSE_BYTES,
    repeatable: false,
  };
}

function toResult(
  request: HttpRequest,
  response: JSONRPCResponse,
): Result<unknown, Fault> {
  const { error } = response;
  if (error === undefined) return ok(response.result);
  const { step, peer } = request;
  const isRefusal = error.code >= FIRST_DIAGNOSTIC_CODE ||
    REFUSING_RPC_ERROR_CODES.includes(error.code);
  return err({
    kind: isRefusal ? "refused" : "unknown",
    code: error.code,
    step,
    peer,
    message: error.message,
    ...(error.data === undefined ? {} : { data: error.data }),
  });
}
