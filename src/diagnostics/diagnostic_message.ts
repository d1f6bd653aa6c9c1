/** How a diagnostic concerns the reader. */
export type DiagnosticCategory = "error" | "warning" | "message";

/** A numbered message with a template; `{0}` stands for the first argument. */
export type DiagnosticMessage = {
  code: number;
  category: DiagnosticCategory;
  template: string;
};
