/**
 * The manifest that a build pipeline generates: its validation, JSON Schema and
 * publication, and the differences between two manifests.
 *
 * @module
 */
export * from "./check_manifest.ts";
export * from "./diff_manifests.ts";
export * from "./format_manifest_differences.ts";
export * from "./manifest_difference.ts";
export { formatManifestFaults, type ManifestFault } from "./manifest_fault.ts";
export * from "./manifest_json_schema.ts";
export {
  type AgreedResourceTimes,
  MANIFEST_PARTITION,
  type ManifestRecords,
  parseManifestRecords,
} from "./manifest_records.ts";
export * from "./publish_manifest.ts";
export * from "./published_manifest.ts";
