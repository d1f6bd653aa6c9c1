import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { CallAnswer } from "./call_answer.ts";

/** Builds the answer to a call that is refused. */
export function problem(
  status: number,
  message: DiagnosticMessage,
  ...values: (string | number)[]
): Extract<CallAnswer, { kind: "problem" }> {
  const detail = formatDiagnostic(message, ...values);
  return { kind: "problem", status, code: message.code, detail };
}
