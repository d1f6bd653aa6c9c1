/** Category of a diagnostic. */
export type DiagnosticCategory = "error" | "warning" | "message";

/** A message with a unique code; `{0}` stands for the first argument. */
export type DiagnosticMessage = {
  code: number;
  category: DiagnosticCategory;
  template: string;
};
