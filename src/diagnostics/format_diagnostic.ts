import type { DiagnosticMessage } from "./diagnostic_message.ts";

/**
 * Formats a diagnostic by filling its template.
 *
 * @example
 * ```ts
 * formatDiagnostic(diagnostics.callTimedOut, "worker-3", 1500);
 * // "worker-3 did not answer within 1500 ms."
 * ```
 *
 * @param message an entry of the diagnostics table
 * @param values the arguments for `{0}`, `{1}` and so on
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
