/**
 * The HTTP server of an entry instance, with its authentication and error
 * responses.
 *
 * @module
 */
export * from "./authentication.ts";
export * from "./http_response.ts";
export * from "./http_server.ts";
export * from "./problem_document.ts";
export * from "./refused_call.ts";
export * from "./route.ts";
