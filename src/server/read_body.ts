import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../diagnostics/mod.ts";
import type { HttpAnswer } from "./http_answer.ts";
import { refusal } from "./problem_document.ts";

/** Bounds on the body of a request. */
export type BodyLimits = {
  maxBytes: number;
  /** Time for the whole body, in milliseconds. */
  timeoutMs: number;
};

const TOO_LARGE = 413;
const TIMED_OUT = 408;
const MALFORMED = 400;

/**
 * Reads the body of a request as JSON.
 *
 * @returns the value, undefined for an empty body, or the refusal to send
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<unknown, HttpAnswer>> {
  const { maxBytes, timeoutMs } = limits;
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) return err(tooLarge(maxBytes));
  const timer = setTimeout(() => request.destroy(), timeoutMs);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += chunk.length;
      if (bytes > maxBytes) return err(tooLarge(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    return err(refusal(TIMED_OUT, diagnostics.timedOut, timeoutMs));
  } finally {
    clearTimeout(timer);
  }
  return parse(Buffer.concat(chunks).toString("utf8"));
}

function parse(text: string): Result<unknown, HttpAnswer> {
  if (text === "") return ok(undefined);
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return err(refusal(MALFORMED, diagnostics.bodyUnreadable, cause));
  }
}

function tooLarge(maxBytes: number): HttpAnswer {
  const answer = refusal(TOO_LARGE, diagnostics.bodyTooLarge, maxBytes);
  return { ...answer, headers: { connection: "close" } };
}
