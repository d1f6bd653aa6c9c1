/**
 * The HTTP interfaces of an entry instance.
 *
 * @module
 */
export * from "./authentication.ts";
export * from "./caller_route.ts";
export * from "./health_route.ts";
export * from "./http_answer.ts";
export * from "./http_server.ts";
export * from "./operator_route.ts";
export * from "./peer_route.ts";
export * from "./route.ts";
