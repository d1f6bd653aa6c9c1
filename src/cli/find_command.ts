import type { CommandDef, SubCommandsDef } from "citty";

/** The command that a command line selects, or the name that is unknown. */
export type CommandLookup =
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
    name: string;
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
export function findCommand(main: CommandDef, args: string[]): CommandLookup {
  const groups: string[] = [];
  let command = main;
  let rest = args;
  while (true) {
    const subCommands = subCommandsOf(command);
    const [name] = rest;
    if (
      subCommands === undefined || name === undefined || name.startsWith("-")
    ) {
      return { kind: "found", command, groups, rest };
    }
    const next = Object.hasOwn(subCommands, name)
      ? subCommands[name]
      : undefined;
    if (next === undefined) return { kind: "unknown", name };
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
  const subCommands = command.subCommands as SubCommandsDef | undefined;
  return subCommands as Record<string, CommandDef> | undefined;
}
