import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/**
 * Reads a value out of JSON text.
 *
 * @example
 * ```ts
 * parseAs(v.number(), "7"); // ok(7)
 * ```
 *
 * @returns the value, or why the text does not hold one
 */
export function parseAs<Schema extends v.GenericSchema>(
  schema: Schema,
  text: string,
): Result<v.InferOutput<Schema>, string> {
  try {
    const parsed = v.safeParse(schema, JSON.parse(text));
    if (parsed.success) return ok(parsed.output);
    return err(parsed.issues[0].message);
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
