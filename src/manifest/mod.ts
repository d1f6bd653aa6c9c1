/**
 * The manifest that a build pipeline generates: its checks, its JSON Schema,
 * and the differences between two of them.
 *
 * @module
 */
export * from "./check_manifest.ts";
export * from "./diff_manifests.ts";
export * from "./format_manifest_changes.ts";
export * from "./manifest_difference.ts";
export { formatManifestFaults, type ManifestFault } from "./manifest_fault.ts";
export * from "./manifest_json_schema.ts";
export {
  type AgreedDay,
  MANIFEST_PARTITION,
  type ManifestRecords,
  readManifestRecords,
} from "./manifest_records.ts";
export * from "./publish_manifest.ts";
export * from "./published_manifest.ts";
