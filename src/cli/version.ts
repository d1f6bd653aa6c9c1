/** The version of the package, as `--version` prints it. */
export const VERSION = "0.1.0";
