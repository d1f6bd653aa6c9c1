/**
 * The shares of domains in the caps of client accounts; see docs/design/caps.md.
 *
 * @module
 */
export * from "./allotment_keeper.ts";
