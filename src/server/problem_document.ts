import { STATUS_CODES } from "node:http";
import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { HttpAnswer } from "./http_answer.ts";

const PROBLEM_TYPE = "application/problem+json";
/** Seconds after which a refused caller may try again. */
const RETRY_AFTER_S = "1";
const UNAVAILABLE = 503;

/**
 * Builds a problem document as RFC 9457 describes it.
 *
 * @param code number of the diagnostic
 * @param ran false where it is certain that nothing ran
 */
export function problemDocument(
  status: number,
  code: number,
  detail: string,
  ran?: false,
): HttpAnswer {
  return {
    status,
    type: PROBLEM_TYPE,
    headers: status === UNAVAILABLE ? { "retry-after": RETRY_AFTER_S } : {},
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
): HttpAnswer {
  const detail = formatDiagnostic(message, ...values);
  return problemDocument(status, message.code, detail);
}
