import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { type Manifest, manifestSchema } from "../model/mod.ts";
import type { ManifestFault } from "./manifest_fault.ts";
import { consistencyFaults } from "./consistency_faults.ts";
import { schemaFaults } from "./schema_faults.ts";

/**
 * Checks a manifest against its schema, and what must hold between its parts:
 * names are unique, customers exist, and demands are plausible.
 *
 * @example
 * ```ts
 * const manifest = checkManifest(JSON.parse(text));
 * if (manifest.isErr()) console.error(formatManifestFaults(manifest.error));
 * ```
 *
 * @param json the parsed JSON text
 * @returns the manifest with its defaults, or all faults of the schema at
 * once, or all faults between the parts at once
 */
export function checkManifest(
  json: unknown,
): Result<Manifest, ManifestFault[]> {
  const parsed = v.safeParse(manifestSchema, json);
  if (!parsed.success) return err(schemaFaults(json));
  const faults = [...consistencyFaults(parsed.output)];
  return faults.length > 0 ? err(faults) : ok(parsed.output);
}
