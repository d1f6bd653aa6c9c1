import type { DiagnosticMessage } from "./diagnostic_message.ts";

/**
 * Fills a diagnostic's template.
 *
 * @example
 * ```ts
 * formatDiagnostic(diagnostics.callTimedOut, "worker-3", 1500);
 * // "worker-3 did not answer within 1500 ms."
 * ```
 *
 * @param message a row of the table of diagnostics
 * @param values what `{0}`, `{1}` and so on stand for
 */
export function formatDiagnostic(
  message: DiagnosticMessage,
  ...values: (string | number)[]
): string {
  return message.template.replace(
    /\{(\d+)\}/g,
    (_, index: string) => String(values[Number(index)] ?? ""),
  );
}
