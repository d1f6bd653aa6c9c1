/** What the exit codes of the command line mean. */
export const exitCodes = {
  /** The command did what it was asked to do. */
  ok: 0,
  /** The command was refused, or the work did not run. */
  refused: 1,
  /** The command line, or a file that it names, is wrong. */
  usage: 2,
  /** No instance answered, or none in a way that can be used. */
  unreachable: 3,
  /** It is not known yet whether the work ran, or who has which version. */
  notKnownYet: 4,
  /** Another change of the manifest came first. */
  lostRace: 5,
  /** A task failed or was stopped, or was lost and may have run. */
  taskFailed: 6,
} as const;

/** An exit code of the command line. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
