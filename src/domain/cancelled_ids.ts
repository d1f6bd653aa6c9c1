/**
 * Ids of jobs that were cancelled before they arrived. A submission may be held
 * up on its way and arrive after its cancellation has been answered.
 *
 * @module
 */
import * as v from "valibot";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { keepsUntilMs } from "./job_lifecycle.ts";
import { cancelledIdKey } from "./record_keys.ts";

/** Schema of the record of a cancelled id. */
export const cancelledIdSchema = v.object({
  /** When the last cancellation came, in milliseconds since the epoch. */
  cancelledAtMs: v.number(),
});

/** Records the cancellation of a job that the domain does not have. */
export function recordCancelledId(
  domain: Domain,
  id: string,
  moment: Moment,
): void {
  domain.cancelledIds.set(id, moment.wallMs);
  domain.dirtyKeys.add(cancelledIdKey(id));
}

/** Forgets ids for which no submission can still be on its way. */
export function purgeCancelledIds(domain: Domain, moment: Moment): void {
  for (const [id, cancelledAtMs] of domain.cancelledIds) {
    if (moment.wallMs <= keepsUntilMs(domain, cancelledAtMs)) continue;
    domain.cancelledIds.delete(id);
    domain.dirtyKeys.add(cancelledIdKey(id));
  }
}
