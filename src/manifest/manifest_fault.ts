import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";

/** Something wrong at one place of a manifest. */
export type ManifestFault = {
  /** Number of the diagnostic. */
  code: number;
  /** JSONPath (RFC 9535) of the place, such as `$.agreements[0].share`. */
  path: string;
  message: string;
};

/** One step of a path: a key of an object or an index of an array. */
export type PathSegment = string | number;

/**
 * Builds a fault of a manifest.
 *
 * @example
 * ```ts
 * manifestFault(["agreements", 0, "customer"], 'there is no customer "a"');
 * ```
 *
 * @param path the steps from the root to the place
 * @param cause what is wrong there, without a full stop
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
 * Renders the faults of a manifest, one line each.
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
