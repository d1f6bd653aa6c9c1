import type { CommandMeta } from "citty";

/** The name, description and examples that the help shows for a command. */
export type CommandMetaWithExamples = CommandMeta & {
  /** Complete command lines, shown below the usage text. */
  examples: string[];
};

/**
 * Builds the metadata that the help of a command is rendered from.
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
): CommandMetaWithExamples {
  return { name, description, examples };
}
