/**
 * One entry instance: a pure reducer over its events, which routes requests,
 * owns workers and recovers what others lost.
 *
 * @module
 */
export * from "./call.ts";
export * from "./effect.ts";
export * from "./flow.ts";
export * from "./operator_views.ts";
export * from "./peer_message.ts";
export * from "./request_entry.ts";
export * from "./request_ids.ts";
export { createScheduler, type Scheduler, selfHolder } from "./scheduler.ts";
export * from "./scheduler_command.ts";
export * from "./scheduler_event.ts";
export * from "./scheduler_options.ts";
export { listRequests } from "./views.ts";
export { step } from "./step.ts";
export * from "./view.ts";
