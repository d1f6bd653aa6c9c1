/** The exit codes of the command-line tool. */
export const exitCodes = {
  /** The command succeeded. */
  ok: 0,
  /** The command was rejected, or the work did not run. */
  refused: 1,
  /** The command line, or a file that it names, is invalid. */
  usage: 2,
  /** No instance sent a valid response. */
  unreachable: 3,
  /**
   * The result is incomplete: the outcome of the work is not known yet, a
   * change may or may not have taken effect, instances differ in the manifest
   * version in force, or some instance did not respond.
   */
  notKnownYet: 4,
  /** Another manifest change was published on the same base version first. */
  manifestConflict: 5,
  /** At least one task failed, was stopped, or was lost and may have run. */
  taskFailed: 6,
} as const;

/** An exit code of the command-line tool. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
