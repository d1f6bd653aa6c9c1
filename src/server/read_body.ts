import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../diagnostics/mod.ts";
import type { HttpResponse } from "./http_response.ts";
import { refusal } from "./problem_document.ts";

/** Limits on the body of a request. */
export type BodyLimits = {
  maxBytes: number;
  /** Timeout for receiving the whole body, in milliseconds. */
  timeoutMs: number;
};

const CONTENT_TOO_LARGE = 413;
const REQUEST_TIMEOUT = 408;
const BAD_REQUEST = 400;

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
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return err(tooLarge(maxBytes));
  const bytes = await receiveBytes(request, limits);
  switch (bytes) {
    case "tooLarge":
      return err(tooLarge(maxBytes));
    case "incomplete":
      return err(refusal(REQUEST_TIMEOUT, diagnostics.timedOut, timeoutMs));
    default:
      return ok(bytes.toString("utf8"));
  }
}

/**
 * Receives the body of a request. Listens to its events, since an asynchronous
 * iteration over a short body costs more than to receive it.
 */
function receiveBytes(
  request: IncomingMessage,
  { maxBytes, timeoutMs }: BodyLimits,
): Promise<Buffer | "tooLarge" | "incomplete"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const end = (outcome: Buffer | "tooLarge" | "incomplete") => {
      clearTimeout(timer);
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      request.destroy();
      end("incomplete");
    }, timeoutMs);
    // It emits no further events if the caller has disconnected before.
    if (request.destroyed) end("incomplete");
    request.on("data", (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) end("tooLarge");
      else chunks.push(chunk);
    });
    request.on("end", () => end(Buffer.concat(chunks)));
    request.on("error", () => end("incomplete"));
    request.on("close", () => end("incomplete"));
  });
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

function tooLarge(maxBytes: number): HttpResponse {
  const response = refusal(
    CONTENT_TOO_LARGE,
    diagnostics.bodyTooLarge,
    maxBytes,
  );
  return { ...response, headers: { connection: "close" } };
}
