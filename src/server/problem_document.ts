import { STATUS_CODES } from "node:http";
import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { HttpResponse } from "./http_response.ts";

const PROBLEM_CONTENT_TYPE = "application/problem+json";
/** Default delay after which a refused call may be retried, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const SERVICE_UNAVAILABLE = 503;

/** Optional members of a problem document and its headers. */
type ProblemContext = {
  /** False if it is certain that nothing ran. */
  ran?: false | undefined;
  retryAfterMs?: number | undefined;
};

/**
 * Creates a response with a problem document as defined by RFC 9457. A 503
 * response gets a `retry-after` header.
 *
 * @param code diagnostic code
 */
export function problemDocument(
  status: number,
  code: number,
  detail: string,
  { ran, retryAfterMs = DEFAULT_RETRY_AFTER_MS }: ProblemContext = {},
): HttpResponse {
  const retryAfter = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  return {
    status,
    type: PROBLEM_CONTENT_TYPE,
    headers: status === SERVICE_UNAVAILABLE
      ? { "retry-after": retryAfter }
      : {},
    body: {
      type: `urn:samphirestage:diagnostic:${code}`,
      title: STATUS_CODES[status] ?? "Error",
      status,
      detail,
      code,
      ...(ran === undefined ? {} : { ran }),
    },
  };
}

/**
 * Creates a problem response for a call that had no effect. It does not state
 * whether an earlier call for the same request ran.
 */
export function refusal(
  status: number,
  message: DiagnosticMessage,
  ...values: (string | number)[]
): HttpResponse {
  const detail = formatDiagnostic(message, ...values);
  return problemDocument(status, message.code, detail);
}
