/**
 * The command line: each command asks an entry instance over HTTP and prints
 * a report.
 *
 * @module
 */
export * from "./exit_codes.ts";
export * from "./run_cli.ts";
export * from "./terminal.ts";
