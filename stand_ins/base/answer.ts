import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../../src/diagnostics/mod.ts";

/** What a stand-in answers to one call. */
export type Answer = { status: number; body?: unknown };

/** One call to a stand-in. */
export type Call = {
  method: string;
  path: string;
  query: URLSearchParams;
  body: unknown;
  /** Aborts when the caller closes its connection. */
  signal: AbortSignal;
};

/** Builds a successful answer. */
export function accept(body: unknown): Answer {
  return { status: 200, body };
}

/** Builds a refusal: a numbered reason with structured data. */
export function refuse(
  status: number,
  message: DiagnosticMessage,
  values: (string | number)[],
  data?: unknown,
): Answer {
  const text = formatDiagnostic(message, ...values);
  return { status, body: { code: message.code, message: text, data } };
}
