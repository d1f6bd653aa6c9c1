import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { assertNever } from "../base/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  type ClientConnection,
  connectionOf,
  type RefusalCause,
  refuseClient,
} from "./client_connection.ts";
import {
  appendBytes,
  createGrowingBuffer,
  recycleBytes,
  writtenBytes,
} from "./growing_buffer.ts";
import type { HttpResponse } from "./http_response.ts";
import { refusal } from "./problem_document.ts";

/** Limits on the body of a request. */
export type BodyLimits = {
  maxBytes: number;
  /** Timeout for receiving the whole body, in milliseconds. */
  timeoutMs: number;
};

/** Why a body was not received. */
export type BodyFailure =
  | "tooLarge"
  /** The client has left, or its time is over. */
  | "incomplete"
  /** It arrives too slowly. */
  | "tooSlow"
  /** The bodies of all clients take too much memory. */
  | "overloaded";

const CONTENT_TOO_LARGE = 413;
const REQUEST_TIMEOUT = 408;
const SERVICE_UNAVAILABLE = 503;
const BAD_REQUEST = 400;
/** Stands for no limit on the time of a body. */
const NO_TIMEOUT_MS = 0;

/**
 * Reads the body of a request.
 *
 * @returns the text, or the error response
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<string, HttpResponse>> {
  const { maxBytes, timeoutMs } = limits;
  const received = await receiveBody(request, maxBytes, timeoutMs);
  if (received.isOk()) return ok(received.value);
  switch (received.error) {
    case "tooLarge":
      return err(
        closing(refusal(CONTENT_TOO_LARGE, diagnostics.bodyTooLarge, maxBytes)),
      );
    case "incomplete":
      return err(refusal(REQUEST_TIMEOUT, diagnostics.timedOut, timeoutMs));
    case "tooSlow":
      return err(closing(refusal(REQUEST_TIMEOUT, diagnostics.bodyTooSlow)));
    case "overloaded":
      return err(
        closing(refusal(SERVICE_UNAVAILABLE, diagnostics.bodyMemoryFull)),
      );
    default:
      return assertNever(received.error);
  }
}

/**
 * Receives the text of a body within the memory for bodies of all clients.
 * Listens to its events, since an asynchronous iteration over a short body
 * costs more than to receive it.
 *
 * @example
 * ```ts
 * const body = await receiveBody(request, 262_144);
 * if (body.isErr()) return refuse(body.error);
 * ```
 *
 * @param timeoutMs time for the whole body; 0 for no limit on it
 */
export function receiveBody(
  request: IncomingMessage,
  maxBytes: number,
  timeoutMs = NO_TIMEOUT_MS,
): Promise<Result<string, BodyFailure>> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve(err("tooLarge"));
  const connection = connectionOf(request);
  const exchange = connection?.exchange;
  if (exchange?.refusal !== undefined) {
    return Promise.resolve(err(failureOf(exchange.refusal)));
  }
  return new Promise((resolve) => {
    let whole: Buffer | undefined;
    let parts: BodyParts | undefined;
    let receivedBytes = 0;
    let isOver = false;
    const end = (outcome: Result<string, BodyFailure>) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      parts?.release();
      if (exchange !== undefined) exchange.refuseBody = undefined;
      resolve(outcome);
    };
    const timer = timeoutMs === NO_TIMEOUT_MS ? undefined : setTimeout(() => {
      request.destroy();
      end(err("incomplete"));
    }, timeoutMs);
    // It emits no further events if the caller has disconnected before.
    if (request.destroyed) end(err("incomplete"));
    if (exchange !== undefined) {
      exchange.refuseBody = (cause) => end(err(failureOf(cause)));
    }
    request.on("data", (chunk: Buffer) => {
      if (isOver) return;
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) return end(err("tooLarge"));
      if (chunk.length === declaredBytes) whole = chunk;
      else (parts ??= createBodyParts(connection)).append(chunk);
    });
    request.on("end", () => {
      end(ok(whole?.toString("utf8") ?? parts?.text() ?? ""));
    });
    request.on("error", () => end(err("incomplete")));
    request.on("close", () => end(err("incomplete")));
  });
}

/** A body that arrives in parts, within the memory for those of all clients. */
type BodyParts = {
  append(chunk: Buffer): void;
  text(): string;
  release(): void;
};

function createBodyParts(connection: ClientConnection | undefined): BodyParts {
  const body = createGrowingBuffer();
  if (connection === undefined) {
    return {
      append: (chunk) => appendBytes(body, chunk),
      text: () => writtenBytes(body).toString("utf8"),
      release: () => {},
    };
  }
  const { address, host: { budget, pool } } = connection;
  const holder = {
    address,
    evict: () => refuseClient(connection, "bodyMemory"),
  };
  return {
    append(chunk) {
      const capacity = body.buffer.length;
      appendBytes(body, chunk, pool);
      if (body.buffer.length === capacity) return;
      budget.hold(holder, body.buffer.length);
    },
    text: () => writtenBytes(body).toString("utf8"),
    release() {
      budget.release(holder);
      recycleBytes(body, pool);
    },
  };
}

function failureOf(cause: RefusalCause): BodyFailure {
  switch (cause) {
    case "bodyMemory":
    case "tooManyConnections":
      return "overloaded";
    case "bodyTooLarge":
      return "tooLarge";
    case "bodyTooSlow":
      return "tooSlow";
    case "malformed":
    case "headTooLarge":
    case "headTooSlow":
    case "emptyLines":
    case "answerUnread":
      return "incomplete";
    default:
      return assertNever(cause);
  }
}

/**
 * Parses the body of a request as JSON.
 *
 * @returns the value, undefined for an empty body, or the error response
 */
export function parseBody(text: string): Result<unknown, HttpResponse> {
  if (text === "") return ok(undefined);
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return err(refusal(BAD_REQUEST, diagnostics.bodyUnreadable, cause));
  }
}

/** Closes the connection, since the rest of the body is not read. */
function closing(response: HttpResponse): HttpResponse {
  return { ...response, headers: { ...response.headers, connection: "close" } };
}
