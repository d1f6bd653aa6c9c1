import type { CommandDef, SubCommandsDef } from "citty";

/** The command that a command line selects, or the name that is unknown. */
export type FoundCommand =
  | {
    kind: "found";
    command: CommandDef;
    /** The names of the enclosing command groups, outermost first. */
    groups: string[];
    /** The arguments after the command's name. */
    rest: string[];
  }
  | {
    kind: "unknown";
    word: string;
  };

/**
 * Finds the command that a command line selects, descending through the
 * command groups until the first flag or a command without subcommands.
 *
 * @example
 * ```ts
 * const found = findCommand(main, ["manifest", "check", "manifest.json"]);
 * ```
 */
export function findCommand(main: CommandDef, words: string[]): FoundCommand {
  const groups: string[] = [];
  let command = main;
  let rest = words;
  while (true) {
    const members = subCommandsOf(command);
    const [word] = rest;
    if (members === undefined || word === undefined || word.startsWith("-")) {
      return { kind: "found", command, groups, rest };
    }
    const next = Object.hasOwn(members, word) ? members[word] : undefined;
    if (next === undefined) return { kind: "unknown", word };
    groups.push(nameOf(command));
    command = next;
    rest = rest.slice(1);
  }
}

function nameOf(command: CommandDef): string {
  const { meta } = command;
  return typeof meta === "object" && "name" in meta ? meta.name ?? "" : "";
}

function subCommandsOf(
  command: CommandDef,
): Record<string, CommandDef> | undefined {
  // Safe because all subcommands here are plain objects, none loaded lazily.
  const groups = command.subCommands as SubCommandsDef | undefined;
  return groups as Record<string, CommandDef> | undefined;
}
