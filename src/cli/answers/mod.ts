/**
 * Schemas of answers that stand around the rows of the interface, and the
 * types inferred from them.
 *
 * @module
 */
export * from "./explanation.ts";
export * from "./lists.ts";
export * from "./time_line_page.ts";
