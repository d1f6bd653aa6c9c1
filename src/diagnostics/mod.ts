/**
 * The table of user-visible messages with their codes, and their formatting.
 *
 * @module
 */
export * from "./diagnostic_message.ts";
export * from "./diagnostics.ts";
export * from "./format_diagnostic.ts";
