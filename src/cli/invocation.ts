import type { ArgsDef, Resolvable } from "citty";
import { err, ok, type Result } from "neverthrow";
import { type CommandFault, usageFault } from "./command_fault.ts";

/** A parsed command line, and the command definition used to parse it. */
export type Invocation = {
  args: object;
  cmd: { args?: Resolvable<ArgsDef> };
};

/** The key under which the parser stores positional arguments. */
const POSITIONALS = "_";

/**
 * Rejects mistakes that the parser accepts: unknown flags, flags without a
 * value, and excess positional arguments.
 *
 * @example
 * ```ts
 * const checked = checkInvocation(context);
 * if (checked.isErr()) return fail(checked.error);
 * ```
 */
export function checkInvocation(
  invocation: Invocation,
): Result<void, CommandFault> {
  const definitions = invocation.cmd.args as ArgsDef | undefined ?? {};
  const names = new Set(Object.keys(definitions).flatMap(spellings));
  for (const [name, value] of Object.entries(invocation.args)) {
    if (name === POSITIONALS) continue;
    if (!names.has(name)) {
      return err(usageFault(`--${name} is not a known flag.`));
    }
    if (value === "") return err(usageFault(`--${name} needs a value.`));
  }
  return checkPositionals(invocation.args, definitions);
}

function checkPositionals(
  args: object,
  definitions: ArgsDef,
): Result<void, CommandFault> {
  const given = POSITIONALS in args ? args[POSITIONALS] : [];
  const allowed = Object.values(definitions)
    .filter(({ type }) => type === "positional").length;
  if (!Array.isArray(given) || given.length <= allowed) return ok();
  return err(usageFault(`"${given[allowed]}" is one argument too many.`));
}

/** The parser stores a flag under both its kebab-case and camelCase names. */
function spellings(name: string): string[] {
  const camelCase = name.replace(
    /-([a-z])/g,
    (_, letter: string) => letter.toUpperCase(),
  );
  return [name, camelCase];
}
