/**
 * Schemas of API responses that wrap rows declared elsewhere, and the types
 * inferred from them.
 *
 * @module
 */
export * from "./explanation.ts";
export * from "./lists.ts";
export * from "./timeline_event_list.ts";
