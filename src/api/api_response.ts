import type { RequestView } from "../model/mod.ts";

/** The response to a call of a caller or an operator, independent of HTTP. */
export type ApiResponse =
  | { kind: "view"; view: RequestView }
  | { kind: "published"; version: number }
  /** An explanation for operators. */
  | { kind: "lines"; lines: string[] }
  | {
    kind: "problem";
    status: number;
    /** Diagnostic code. */
    code: number;
    detail: string;
    /** Set only if it is certain that no task ran. */
    ran?: false;
    retryAfterMs?: number;
  };
