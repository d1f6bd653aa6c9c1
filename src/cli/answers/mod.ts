/**
 * Schemas of an entry instance's answers, and the types inferred from them.
 *
 * @module
 */
export * from "./explanation.ts";
export * from "./instance_status.ts";
export * from "./manifest_history.ts";
export * from "./manifest_in_force.ts";
export * from "./request_list.ts";
export * from "./task_row.ts";
export * from "./time_line_page.ts";
export * from "./worker_row.ts";
