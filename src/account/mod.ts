/**
 * The monthly account: what each agreement used against what was agreed, from
 * the usage folded of the log.
 *
 * @module
 */
export * from "./account.ts";
export * from "./build_account.ts";
export * from "./month.ts";
export * from "./render_csv.ts";
export * from "./render_table.ts";
