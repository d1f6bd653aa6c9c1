import { assertNever } from "../base/mod.ts";
import type { ManifestDifference } from "./manifest_difference.ts";

/**
 * Formats the differences between two manifests, one per line: `+` for an
 * addition, `-` for a removal, `~` for a change.
 *
 * @example
 * ```ts
 * formatManifestDifferences(diffManifests(before, after));
 * // "~ agreements/proofs/share/cpuMillis: 400000 -> 500000"
 * ```
 */
export function formatManifestDifferences(
  differences: ManifestDifference[],
): string {
  return differences.map(formatDifference).join("\n");
}

function formatDifference(difference: ManifestDifference): string {
  switch (difference.kind) {
    case "added":
      return `+ ${difference.path}${formatScalarSuffix(difference.after)}`;
    case "removed":
      return `- ${difference.path}${formatScalarSuffix(difference.before)}`;
    case "changed": {
      const [before, after] = [difference.before, difference.after].map(
        formatValue,
      );
      return `~ ${difference.path}: ${before} -> ${after}`;
    }
    default:
      return assertNever(difference);
  }
}

function formatScalarSuffix(value: unknown): string {
  return typeof value === "object" ? "" : `: ${formatValue(value)}`;
}

function formatValue(value: unknown): string {
  return JSON.stringify(value);
}
