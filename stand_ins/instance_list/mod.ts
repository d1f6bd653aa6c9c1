/**
 * Stand-in of the platform's instance list.
 *
 * @module
 */
export * from "./instance_list.ts";
