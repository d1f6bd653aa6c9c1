/** The version of the package, which `--version` prints. */
export const VERSION = "0.1.0";
