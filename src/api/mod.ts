/**
 * The HTTP API for callers and operators.
 *
 * @module
 */
export * from "./api_host.ts";
export * from "./build_job.ts";
export * from "./api_response.ts";
export { createCallerRoute } from "./caller_route.ts";
export * from "./instance_view.ts";
export * from "./placement_question.ts";
export { createOperatorRoute } from "./operator_route.ts";
export * from "./problem_response.ts";
export * from "./request_ids.ts";
export * from "./task_row.ts";
export * from "./build_request_view.ts";
export * from "./worker_row.ts";
