import { stripVTControlCharacters } from "node:util";
import { type CommandDef, renderUsage } from "citty";
import { exitCodes } from "./exit_codes.ts";

/**
 * Renders the help of a command: the parser's usage text, the examples and
 * the exit codes.
 *
 * @example
 * ```ts
 * terminal.write(await renderHelp(command, ["samphirestage", "manifest"]));
 * ```
 *
 * @param groups the names of the enclosing command groups, outermost first
 */
export async function renderHelp(
  command: CommandDef,
  groups: string[],
): Promise<string> {
  const parent = { meta: { name: groups.join(" ") } };
  const usage = await renderUsage(command, parent);
  const parts = [
    stripVTControlCharacters(usage).replace(/ +$/gm, "").trimEnd(),
    renderExamples(command),
    renderExitCodes(),
  ];
  return parts.filter((part) => part !== "").join("\n\n") + "\n";
}

function renderExamples(command: CommandDef): string {
  const { meta } = command;
  const examples = typeof meta === "object" && "examples" in meta
    ? meta.examples
    : [];
  if (!Array.isArray(examples) || examples.length === 0) return "";
  return ["EXAMPLES", "", ...examples.map((line) => `  ${line}`)].join("\n");
}

function renderExitCodes(): string {
  const meanings = [
    `${exitCodes.ok} done`,
    `${exitCodes.refused} refused or did not run`,
    `${exitCodes.usage} invalid command line or file`,
    `${exitCodes.unreachable} no valid response from an instance`,
    `${exitCodes.notKnownYet} outcome not known yet, or report incomplete`,
    `${exitCodes.manifestConflict} another manifest change was published first`,
    `${exitCodes.taskFailed} a task failed, was stopped or was lost`,
  ];
  return ["EXIT CODES", "", ...meanings.map((line) => `  ${line}`)].join("\n");
}
