import { err, ok, type Result } from "neverthrow";
import { type CommandFault, usageFault } from "./command_fault.ts";

/**
 * Parses the integer value of a flag.
 *
 * @example
 * ```ts
 * const waitMs = parseIntegerFlag("--wait-ms", args["wait-ms"], 0, DAY_MS);
 * ```
 *
 * @param min the least value allowed
 * @param max the greatest value allowed
 * @returns the number, or a fault that names the allowed range
 */
export function parseIntegerFlag(
  name: string,
  text: string,
  min: number,
  max: number,
): Result<number, CommandFault> {
  const value = /^-?[0-9]{1,15}$/.test(text) ? Number(text) : Number.NaN;
  if (value >= min && value <= max) return ok(value);
  const allowed = `a whole number from ${min} to ${max}`;
  return err(usageFault(`${name} is "${text}"; allowed: ${allowed}.`));
}
