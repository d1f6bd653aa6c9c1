/**
 * Domain ownership: the group membership that assigns domains to instances,
 * takeover, commits, and the links of an owner to its workers.
 *
 * @module
 */
export * from "./directory.ts";
export * from "./owned_domains.ts";
export type { DomainOwner } from "./domain_owner.ts";
export type { OwnerAnswer } from "./owner_answer.ts";
export type { DomainView } from "./domain_view.ts";
export * from "./follow_topic.ts";
export * from "./group_membership.ts";
export * from "./worker_list.ts";
export * from "./queue_records.ts";
export { type TrackedStore, trackStore } from "./tracked_store.ts";
export {
  currentInstant,
  DISTANT_PAST,
  elapsedMs,
  type Instant,
} from "./instant.ts";
export * from "./clock_history.ts";
export * from "./relay/mod.ts";
