import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { ApiResponse } from "./api_response.ts";

/** Builds the answer to a call that is refused. */
export function problemResponse(
  status: number,
  message: DiagnosticMessage,
  ...values: (string | number)[]
): Extract<ApiResponse, { kind: "problem" }> {
  const detail = formatDiagnostic(message, ...values);
  return { kind: "problem", status, code: message.code, detail };
}
