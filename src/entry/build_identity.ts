/** Replaced in bundles by a digest of the bundled code. */
declare const SAMPHIRESTAGE_BUILD: string;

/**
 * Identifies the code that runs: a digest of the bundle, which is the same for
 * each build of the same sources and packages; `unbundled` without a bundle.
 */
export const BUILD_IDENTITY: string = typeof SAMPHIRESTAGE_BUILD === "string"
  ? SAMPHIRESTAGE_BUILD
  : "unbundled";
