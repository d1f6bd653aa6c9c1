import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";

/** A validation error at one location in a manifest. */
export type ManifestFault = {
  /** Diagnostic code. */
  code: number;
  /** JSONPath (RFC 9535) of the location, such as `$.agreements[0].share`. */
  path: string;
  message: string;
};

/** One segment of a path: a key of an object or an index of an array. */
export type PathSegment = string | number;

/**
 * Builds a fault of a manifest.
 *
 * @example
 * ```ts
 * manifestFault(["agreements", 0, "customer"], 'there is no customer "a"');
 * ```
 *
 * @param path the segments from the root to the location
 * @param cause what is wrong, without a trailing period
 */
export function manifestFault(
  path: PathSegment[],
  cause: string,
): ManifestFault {
  const { manifestInvalid } = diagnostics;
  const formattedPath = formatPath(path);
  return {
    code: manifestInvalid.code,
    path: formattedPath,
    message: formatDiagnostic(manifestInvalid, formattedPath, cause),
  };
}

/**
 * Formats the faults of a manifest, one per line.
 *
 * @example
 * ```ts
 * formatManifestFaults(faults);
 * // "SS1101: The manifest is invalid at $.customers: ..."
 * ```
 */
export function formatManifestFaults(faults: ManifestFault[]): string {
  return faults.map((fault) => `SS${fault.code}: ${fault.message}`).join("\n");
}

function formatPath(path: PathSegment[]): string {
  return "$" + path.map(formatSegment).join("");
}

function formatSegment(segment: PathSegment): string {
  if (typeof segment === "number") return `[${segment}]`;
  const isPlain = /^[A-Za-z_][A-Za-z0-9_]*$/.test(segment);
  return isPlain ? `.${segment}` : `[${JSON.stringify(segment)}]`;
}
