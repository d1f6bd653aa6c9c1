/**
 * The one table of numbered messages, and how they are rendered.
 *
 * @module
 */
export * from "./diagnostic_message.ts";
export * from "./diagnostics.ts";
export * from "./format_diagnostic.ts";
