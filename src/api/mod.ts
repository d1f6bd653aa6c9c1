/**
 * The product's own HTTP interface, for callers and operators.
 *
 * @module
 */
export * from "./api_host.ts";
export * from "./build_job.ts";
export * from "./call_answer.ts";
export { createCallerRoute } from "./caller_route.ts";
export * from "./instance_view.ts";
export { createOperatorRoute } from "./operator_route.ts";
export * from "./problem.ts";
export * from "./request_ids.ts";
export * from "./task_row.ts";
export * from "./view_request.ts";
export * from "./worker_row.ts";
