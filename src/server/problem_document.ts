import { STATUS_CODES } from "node:http";
import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { HttpResponse } from "./http_response.ts";

const PROBLEM_CONTENT_TYPE = "application/problem+json";
/** After this time a refused caller may try again, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const SERVICE_UNAVAILABLE = 503;

/** What is known beside the problem itself. */
type ProblemContext = {
  /** False where it is certain that nothing ran. */
  ran?: false | undefined;
  retryAfterMs?: number | undefined;
};

/**
 * Builds a problem document as RFC 9457 describes it.
 *
 * @param code number of the diagnostic
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
 * Builds a problem document for a call that changed nothing. It does not say
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
