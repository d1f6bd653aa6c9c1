import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { ApiResponse } from "./api_response.ts";

/** Builds the response to a rejected call from a diagnostic. */
export function problemResponse(
  status: number,
  message: DiagnosticMessage,
  ...values: (string | number)[]
): Extract<ApiResponse, { kind: "problem" }> {
  const detail = formatDiagnostic(message, ...values);
  return { kind: "problem", status, code: message.code, detail };
}
