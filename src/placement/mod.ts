/**
 * Placement: which task starts on which worker, and when. A pure core: events
 * and the time go in, commands come out, and nothing else happens.
 *
 * @module
 */
export * from "./explain_task.ts";
export { createPlacement, type Placement } from "./placement.ts";
export * from "./placement_command.ts";
export * from "./placement_event.ts";
export * from "./placement_load.ts";
export * from "./placement_options.ts";
export * from "./step_placement.ts";
