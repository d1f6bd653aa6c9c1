import { assertNever } from "../base/mod.ts";
import type { ManifestDifference } from "./manifest_difference.ts";

/**
 * Renders the changes between two manifests, one line each: `+` for what was
 * added, `-` for what was removed, `~` for what was changed.
 *
 * @example
 * ```ts
 * formatManifestChanges(diffManifests(before, after));
 * // "~ agreements/proofs/share/cpuMillis: 400000 -> 500000"
 * ```
 */
export function formatManifestChanges(changes: ManifestDifference[]): string {
  return changes.map(formatChange).join("\n");
}

function formatChange(change: ManifestDifference): string {
  switch (change.kind) {
    case "added":
      return `+ ${change.path}${formatAfterColon(change.after)}`;
    case "removed":
      return `- ${change.path}${formatAfterColon(change.before)}`;
    case "changed": {
      const [before, after] = [change.before, change.after].map(formatValue);
      return `~ ${change.path}: ${before} -> ${after}`;
    }
    default:
      return assertNever(change);
  }
}

function formatAfterColon(value: unknown): string {
  return typeof value === "object" ? "" : `: ${formatValue(value)}`;
}

function formatValue(value: unknown): string {
  return JSON.stringify(value);
}
