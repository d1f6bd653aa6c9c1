import { type JsonSchema, toJsonSchema } from "@valibot/to-json-schema";
import { manifestSchema } from "../model/mod.ts";

/**
 * Generates the JSON Schema of a manifest, for build pipelines and editors.
 *
 * @example
 * ```ts
 * console.log(JSON.stringify(manifestJsonSchema(), undefined, 2));
 * ```
 */
export function manifestJsonSchema(): JsonSchema {
  return {
    ...toJsonSchema(manifestSchema, { typeMode: "input" }),
    title: "Manifest of samphirestage",
  };
}
