import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/**
 * Parses JSON text and validates the value against a schema.
 *
 * @example
 * ```ts
 * parseAs(v.number(), "7"); // ok(7)
 * ```
 *
 * @returns the value, or the message of the parse or validation error
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
