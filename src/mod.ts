/**
 * The coordination library that other programs embed.
 *
 * @module
 */
export * from "./account/mod.ts";
export * from "./base/mod.ts";
export * from "./diagnostics/mod.ts";
export * as domain from "./domain/mod.ts";
export * from "./hosts/mod.ts";
export * from "./limits/mod.ts";
export * from "./manifest/mod.ts";
export * from "./model/mod.ts";
export * from "./time_line/mod.ts";
