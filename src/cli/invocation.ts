import type { ArgsDef, Resolvable } from "citty";
import { err, ok, type Result } from "neverthrow";
import { type CommandFault, usageFault } from "./command_fault.ts";

/** A parsed command line, and the definition that it was parsed by. */
export type Invocation = {
  args: object;
  cmd: { args?: Resolvable<ArgsDef> };
};

/** Where the parser puts the arguments without a flag. */
const POSITIONALS = "_";

/**
 * Refuses what the parser lets pass: unknown flags, flags without their
 * value, and arguments too many.
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

/** The parser files a flag under its kebab-case and its camelCase name. */
function spellings(name: string): string[] {
  const camelCase = name.replace(
    /-([a-z])/g,
    (_, letter: string) => letter.toUpperCase(),
  );
  return [name, camelCase];
}
