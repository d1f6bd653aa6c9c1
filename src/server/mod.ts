/**
 * The HTTP server of an entry instance, with its authentication and error
 * responses.
 *
 * @module
 */
export * from "./authentication.ts";
export { hasLaterRequests, type RefusalCause } from "./client_connection.ts";
export * from "./client_guard.ts";
export * from "./client_limits.ts";
export * from "./http_response.ts";
export * from "./http_server.ts";
export * from "./problem_document.ts";
export { type BodyFailure, receiveBody } from "./read_body.ts";
export * from "./refused_call.ts";
export * from "./route.ts";
