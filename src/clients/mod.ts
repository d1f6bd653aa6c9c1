/**
 * HTTP and JSON-RPC clients, the system clock and seeded randomness.
 *
 * @module
 */
export * from "./http_client.ts";
export * from "./http_request.ts";
export * from "./peer_client.ts";
export * from "./probe_address.ts";
export * from "./seeded_randomness.ts";
export * from "./system_clock.ts";
