/**
 * Abort reason for operations whose result is no longer needed. Passing a
 * reason keeps the controller from creating an error with a stack trace, which
 * costs more than most of the aborted operations.
 *
 * @example
 * ```ts
 * controller.abort(NO_LONGER_NEEDED);
 * ```
 */
export const NO_LONGER_NEEDED = "no longer needed";
