/**
 * A server whose answers a test scripts byte by byte.
 *
 * @module
 */
export * from "./scripted_server.ts";
