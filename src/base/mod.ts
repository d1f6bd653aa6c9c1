/**
 * Small stateless helpers that all other folders may use.
 *
 * @module
 */
export * from "./abort_reason.ts";
export * from "./address.ts";
export * from "./assert_never.ts";
export * from "./child_controller.ts";
export * from "./compare.ts";
export * from "./day.ts";
export * from "./hash.ts";
export * from "./memoize.ts";
export * from "./parse_as.ts";
export * from "./until_aborted.ts";
