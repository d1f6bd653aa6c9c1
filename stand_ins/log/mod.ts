/**
 * Stand-in of the platform's log service.
 *
 * @module
 */
export * from "./log.ts";
