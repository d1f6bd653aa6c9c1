import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { type Manifest, manifestSchema } from "../model/mod.ts";
import type { ManifestFault } from "./manifest_fault.ts";
import { consistencyFaults } from "./consistency_faults.ts";
import { schemaFaults } from "./schema_faults.ts";

/**
 * Validates a manifest against its schema and checks its consistency: names are
 * unique, customers exist, and demands are plausible.
 *
 * @example
 * ```ts
 * const manifest = checkManifest(JSON.parse(text));
 * if (manifest.isErr()) console.error(formatManifestFaults(manifest.error));
 * ```
 *
 * @param json the parsed JSON text
 * @returns the manifest with its defaults, or all schema faults; a manifest
 * that fits its schema is checked for all consistency faults
 */
export function checkManifest(
  json: unknown,
): Result<Manifest, ManifestFault[]> {
  const parsed = v.safeParse(manifestSchema, json);
  if (!parsed.success) return err(schemaFaults(json));
  const faults = [...consistencyFaults(parsed.output)];
  return faults.length > 0 ? err(faults) : ok(parsed.output);
}
