import type { StoreHost } from "../hosts/mod.ts";
import { parseQueueRecords, QUEUES_PARTITION } from "../ownership/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { EntryContext } from "./entry_context.ts";

/** How often obsolete records are replaced, in milliseconds. */
const REPLACE_INTERVAL_MS = 60_000;

/**
 * Replaces the queue records that the domains of this instance no longer need,
 * until the instance stops.
 */
export async function replaceQueueRecords(
  { platform, clock, logger, ownedDomains, stopping }:
    & Pick<EntryContext, "clock" | "ownedDomains" | "stopping">
    & {
      platform: { store: Pick<StoreHost, "newest"> };
      logger: Pick<Logger, "part">;
    },
): Promise<void> {
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(REPLACE_INTERVAL_MS, signal);
    const owners = ownedDomains.loadedOwners();
    if (owners.length === 0 || signal.aborted) continue;
    const readAtMs = clock.steadyMs();
    const page = await platform.store.newest(QUEUES_PARTITION, signal);
    if (page.isErr()) {
      logger.part("store").warn(
        "Cannot read the queue records; they are replaced the next time.",
        { fault: page.error.kind, cause: page.error.message },
      );
      continue;
    }
    const { records } = parseQueueRecords(page.value.records);
    for (const owner of owners) {
      await owner.replaceObsoleteQueueRecords(records, readAtMs);
    }
  }
}
