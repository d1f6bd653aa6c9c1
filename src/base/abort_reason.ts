/**
 * The reason for the end of something that nobody waits for any more. A
 * controller that is given a reason does not build an error with a stack trace,
 * which costs more than most of what is ended.
 *
 * @example
 * ```ts
 * controller.abort(OVER);
 * ```
 */
export const NO_LONGER_NEEDED = "it is over";
