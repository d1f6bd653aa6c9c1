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
export type PathStep = string | number;

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
export function manifestFault(path: PathStep[], cause: string): ManifestFault {
  const { manifestInvalid } = diagnostics;
  const text = formatPath(path);
  return {
    code: manifestInvalid.code,
    path: text,
    message: formatDiagnostic(manifestInvalid, text, cause),
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

function formatPath(path: PathStep[]): string {
  return "$" + path.map(formatStep).join("");
}

function formatStep(step: PathStep): string {
  if (typeof step === "number") return `[${step}]`;
  const isPlain = /^[A-Za-z_][A-Za-z0-9_]*$/.test(step);
  return isPlain ? `.${step}` : `[${JSON.stringify(step)}]`;
}
