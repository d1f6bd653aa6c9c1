/**
 * The monthly account: used and agreed resource time of each agreement,
 * computed from the records of the domains and of the manifest.
 *
 * @module
 */
export * from "./account.ts";
export * from "./agreed_time.ts";
export * from "./build_account.ts";
export * from "./cluster_day_usage.ts";
export * from "./month.ts";
export * from "./render_csv.ts";
export * from "./render_table.ts";
export { addDomainUsage, HOUR_MS } from "./daily_usage.ts";
