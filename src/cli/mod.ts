/**
 * The command-line interface: most commands call the HTTP API of an entry
 * instance and print a report.
 *
 * @module
 */
export * from "./exit_codes.ts";
export * from "./run_cli.ts";
export * from "./terminal.ts";
