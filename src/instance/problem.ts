import type { CallAnswer } from "./view.ts";

/** An answer that refuses a call, shown to the caller as RFC 9457 asks. */
export type Problem = Extract<CallAnswer, { kind: "problem" }>;

/**
 * Builds a problem.
 *
 * @example
 * ```ts
 * problem(503, 3011, "The instance is stopping; nothing was run.", false);
 * ```
 *
 * @param status HTTP status
 * @param code number of the diagnostic
 * @param ran false where it is certain that nothing ran
 */
export function problem(
  status: number,
  code: number,
  detail: string,
  ran?: false,
): Problem {
  return {
    kind: "problem",
    status,
    code,
    detail,
    ...(ran === undefined ? {} : { ran }),
  };
}
