/**
 * Names of the topics on which flows wait for notices.
 *
 * @module
 */

/** A request changed: a task started or ended, or the outcome is final. */
export function requestTopic(requestId: string): string {
  return `request:${requestId}`;
}

/** A page of the log was folded. */
export const LOG_TOPIC = "log";

/** Workers, members or leases changed; ownership may have to change. */
export const OWNERSHIP_TOPIC = "ownership";
