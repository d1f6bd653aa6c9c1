import type { RequestView } from "../model/mod.ts";

/** The answer to a call of a caller or an operator. */
export type ApiResponse =
  | { kind: "view"; view: RequestView }
  | { kind: "published"; version: number }
  | {
    kind: "problem";
    status: number;
    /** Number of the diagnostic. */
    code: number;
    detail: string;
    /** False where it is certain that nothing ran. */
    ran?: false;
    retryAfterMs?: number;
  };
