/**
 * An HTTP server whose responses are written by the test.
 *
 * @module
 */
export * from "./scripted_server.ts";
