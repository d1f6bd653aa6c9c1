/**
 * Follows the store's topics that an instance needs, and announces the
 * instance there.
 *
 * @module
 */
import type { KeyedRecord } from "../hosts/mod.ts";
import { MANIFEST_PARTITION } from "../manifest/mod.ts";
import { followTopic } from "../ownership/mod.ts";
import type { Announcement } from "./instance_list.ts";
import type { EntryContext } from "./entry_context.ts";

/** The partition in which instances announce themselves. */
export const INSTANCES_PARTITION = { topic: "instances", number: 0 };
/** The shortest wait for a new configuration; each read is a call, in ms. */
const MIN_LONG_POLL_WAIT_MS = 100;
/** How long the store may hold a read open for new records, in ms. */
const LONG_POLL_WAIT_MS = 2_000;
/**
 * The same for the configuration while it has client accounts, as a share of the
 * revocation bound: the confirmation gets as old as two such waits.
 */
const KEYS_LONG_POLL_SHARE = 0.2;
/** Pause between two reads of the worker list, in milliseconds. */
const WORKER_LIST_POLL_INTERVAL_MS = 400;
/** The same pause while this instance owns no domain, in milliseconds. */
const IDLE_WORKER_LIST_POLL_INTERVAL_MS = 1_500;
/** How long a read of the other instances may be held open, in ms. */
const INSTANCES_LONG_POLL_WAIT_MS = 8_000;
/** Pause between two reads of the other instances, in milliseconds. */
const INSTANCES_POLL_INTERVAL_MS = 300;
const ANNOUNCE_RETRY_DELAY_MS = 300;
/** Number of best-ranked candidates that follow the worker list. */
const CANDIDATES_FOLLOWING_WORKERS = 4;

/**
 * Follows the configuration, the worker list, the announcements of instances
 * and, if the API is served, the manifest.
 */
export function followStoreTopics(context: EntryContext): void {
  const { platform, clock, logger, ending, instances } = context;
  const followerOptions = {
    store: platform.store,
    clock,
    logger: logger.part("store"),
    waitMs: LONG_POLL_WAIT_MS,
    pauseMs: () => 0,
    signal: ending.signal,
  };
  const { configuration, configurationIntake } = context;
  followTopic({
    ...followerOptions,
    waitMs(hasReadFailed) {
      if (configuration.current()?.requiresKeys !== true) {
        return LONG_POLL_WAIT_MS;
      }
      const { revocationBoundMs } = context.settings.configuration;
      const waitMs = Math.max(
        MIN_LONG_POLL_WAIT_MS,
        Math.floor(revocationBoundMs * KEYS_LONG_POLL_SHARE),
      );
      return hasReadFailed ? 0 : Math.min(waitMs, LONG_POLL_WAIT_MS);
    },
    partition: platform.configurationTopic,
    onSnapshot: configurationIntake.apply,
    onRecords: configurationIntake.apply,
    onConfirmed: configurationIntake.confirm,
  });
  followTopic({
    ...followerOptions,
    waitMs: 0,
    pauseMs: () =>
      context.ownedDomains.count() > 0
        ? WORKER_LIST_POLL_INTERVAL_MS
        : IDLE_WORKER_LIST_POLL_INTERVAL_MS,
    isWanted: () => needsWorkerList(context),
    partition: platform.workersTopic,
    onFailure: () => context.workers.recordReadFailure(),
    onSnapshot: (records) => context.workers.replace(records),
    onRecords: (records) => context.workers.apply(records),
  });
  if (context.settings.listen.api !== undefined) followManifest(context);
  followTopic({
    ...followerOptions,
    waitMs: INSTANCES_LONG_POLL_WAIT_MS,
    pauseMs: () => INSTANCES_POLL_INTERVAL_MS,
    partition: INSTANCES_PARTITION,
    onSnapshot: (records) => {
      instances.replace(records);
      announceAgainIfRemoved(context);
    },
    onRecords: (records) => {
      instances.apply(records);
      announceAgainIfRemoved(context);
    },
  });
}

/**
 * Whether this instance owns domains or is likely to own some soon. Only such
 * instances follow the worker list: workers keep renewing their records there,
 * so the reads of all instances would grow with instances times workers.
 */
export function needsWorkerList(
  { ownedDomains, instances, directory }: Pick<
    EntryContext,
    "ownedDomains" | "instances" | "directory"
  >,
): boolean {
  if (ownedDomains.count() > 0) return true;
  const rank = instances.rank(Object.values(directory.knownOwners()));
  return rank !== undefined && rank < CANDIDATES_FOLLOWING_WORKERS;
}

/** Follows the manifest, which the product's own API needs. */
function followManifest(context: EntryContext): void {
  const { platform, clock, logger, ending, manifest } = context;
  const applyRecords = (records: KeyedRecord[]) => {
    const { isNewer, unreadable } = manifest.applyIfNewer(records);
    for (const key of unreadable) {
      logger.part("manifest").error("Skipped an unreadable record.", {
        key,
      });
    }
    if (!isNewer) return;
    context.queues.refresh();
    logger.part("manifest").info("Applied a new manifest.", {
      version: manifest.current()?.version ?? 0,
      author: manifest.current()?.author ?? "",
    });
  };
  followTopic({
    store: platform.store,
    clock,
    logger: logger.part("store"),
    waitMs: LONG_POLL_WAIT_MS,
    pauseMs: () => 0,
    partition: MANIFEST_PARTITION,
    onSnapshot: applyRecords,
    onRecords: applyRecords,
    signal: ending.signal,
  });
}

/** Announces this instance again if another one has taken it for gone. */
function announceAgainIfRemoved(context: EntryContext): void {
  const { instances, logger, stopping } = context;
  const announcement = instances.removedAnnouncement();
  if (announcement === undefined || stopping.signal.aborted) return;
  logger.part("entry").warn("Announcing this instance again.", {
    cause: "another instance removed the announcement",
  });
  announceInstance(context, announcement);
}

/** Publishes this instance's announcement; retries until stored or stopping. */
export async function announceInstance(
  context: EntryContext,
  announcement: Announcement,
): Promise<void> {
  const { platform, clock, self, stopping } = context;
  const record = { key: self, value: JSON.stringify(announcement) };
  while (!stopping.signal.aborted) {
    const { signal } = stopping;
    const result = await platform.store.append(
      INSTANCES_PARTITION,
      [record],
      undefined,
      signal,
    );
    if (result.isOk()) return;
    await clock.sleep(ANNOUNCE_RETRY_DELAY_MS, signal);
  }
}
