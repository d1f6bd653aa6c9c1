/**
 * What the stand-ins share: a JSON server over HTTP whose faults are
 * controlled while it runs.
 *
 * @module
 */
export * from "./answer.ts";
export * from "./fault_control.ts";
export * from "./json_server.ts";
export * from "./wait_for_wake.ts";
