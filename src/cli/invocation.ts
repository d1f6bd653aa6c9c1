import type { ArgsDef, Resolvable } from "citty";
import { err, ok, type Result } from "neverthrow";
import { type CommandFault, usageFault } from "./command_fault.ts";

/** A parsed command line, and the command definition used to parse it. */
export type Invocation = {
  args: object;
  cmd: { args?: Resolvable<ArgsDef> };
};

/** The key under which the parser stores positional arguments. */
const POSITIONALS_KEY = "_";

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
  const knownFlags = new Set(Object.keys(definitions).flatMap(flagSpellings));
  for (const [name, value] of Object.entries(invocation.args)) {
    if (name === POSITIONALS_KEY) continue;
    if (!knownFlags.has(name)) {
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
  const positionals = POSITIONALS_KEY in args ? args[POSITIONALS_KEY] : [];
  const maxPositionals = Object.values(definitions)
    .filter(({ type }) => type === "positional").length;
  if (!Array.isArray(positionals) || positionals.length <= maxPositionals) {
    return ok();
  }
  return err(
    usageFault(`"${positionals[maxPositionals]}" is an unexpected argument.`),
  );
}

/** The parser stores a flag under both its kebab-case and camelCase names. */
function flagSpellings(name: string): string[] {
  const camelCase = name.replace(
    /-([a-z])/g,
    (_, letter: string) => letter.toUpperCase(),
  );
  return [name, camelCase];
}
