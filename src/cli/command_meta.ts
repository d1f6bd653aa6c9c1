import type { CommandMeta } from "citty";

/** What the help says of a command. */
export type DescribedMeta = CommandMeta & {
  /** Whole command lines, shown below the help. */
  examples: string[];
};

/**
 * Describes a command for its help.
 *
 * @example
 * ```ts
 * describeCommand("status", "Shows an instance.", ["samphirestage status"]);
 * ```
 */
export function describeCommand(
  name: string,
  description: string,
  examples: string[],
): DescribedMeta {
  return { name, description, examples };
}
