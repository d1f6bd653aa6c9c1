/**
 * What an instance reads from the store all the time, and what it tells there.
 *
 * @module
 */
import type { KeyedRecord } from "../hosts/mod.ts";
import { MANIFEST_PARTITION } from "../manifest/mod.ts";
import { followTopic } from "../ownership/mod.ts";
import type { Announcement } from "./instance_list.ts";
import type { Running } from "./running.ts";

/** The topic in which instances announce themselves. */
export const INSTANCES = { topic: "instances", number: 0 };
/** How long the store holds back an answer for a follower, in ms. */
const FOLLOW_WAIT_MS = 2_000;
/** How often the list of workers is read, in milliseconds. */
const WORKER_LIST_PAUSE_MS = 400;
/** The same while this instance owns no domain, in milliseconds. */
const IDLE_LIST_PAUSE_MS = 1_500;
/** How long the store holds back news of other instances, in ms. */
const INSTANCES_WAIT_MS = 8_000;
/** Least time between two reads of other instances, in milliseconds. */
const INSTANCES_PAUSE_MS = 300;
const ANNOUNCE_RETRY_MS = 300;
/** How many of the best candidates keep the list of workers at hand. */
const FOLLOWING_CANDIDATES = 4;

/** Follows the configuration and the other instances. */
export function follow(running: Running): void {
  const { platform, clock, logger, ending, instances } = running;
  const follower = {
    store: platform.store,
    clock,
    logger: logger.part("store"),
    waitMs: FOLLOW_WAIT_MS,
    pauseMs: () => 0,
    signal: ending.signal,
  };
  const takeConfiguration = (
    records: KeyedRecord[],
  ) => {
    for (const record of records) {
      const decoded = platform.decodeConfiguration(record);
      if (decoded === undefined) continue;
      if ("reason" in decoded) {
        logger.part("entry").error("Skipped an unreadable configuration.", {
          key: record.key,
          reason: decoded.reason,
        });
        continue;
      }
      const { configuration } = decoded;
      if (!running.configuration.offer(configuration)) continue;
      logger.part("entry").info("A configuration is in force.", {
        version: configuration.version,
        routes: configuration.routes.length,
      });
    }
  };
  followTopic({
    ...follower,
    partition: platform.configurationTopic,
    onSnapshot: takeConfiguration,
    onRecords: takeConfiguration,
  });
  followTopic({
    ...follower,
    waitMs: 0,
    pauseMs: () =>
      running.holder.count() > 0 ? WORKER_LIST_PAUSE_MS : IDLE_LIST_PAUSE_MS,
    isWanted: () => needsWorkers(running),
    partition: platform.workersTopic,
    onFailure: () => running.workers.recordReadFailure(),
    onSnapshot: (records) => running.workers.replace(records),
    onRecords: (records) => running.workers.apply(records),
  });
  if (running.settings.listen.api !== undefined) followManifest(running);
  followTopic({
    ...follower,
    waitMs: INSTANCES_WAIT_MS,
    pauseMs: () => INSTANCES_PAUSE_MS,
    partition: INSTANCES,
    onSnapshot: (records) => instances.apply(records),
    onRecords: (records) => instances.apply(records),
  });
}

/**
 * Whether this instance owns domains, or is likely to own some next. Every
 * worker confirms its entry all the time, so what all instances together would
 * read grows with instances times workers.
 */
export function needsWorkers(
  { holder, instances, directory }: Pick<
    Running,
    "holder" | "instances" | "directory"
  >,
): boolean {
  if (holder.count() > 0) return true;
  const rank = instances.rank(Object.values(directory.knownOwners()));
  return rank !== undefined && rank < FOLLOWING_CANDIDATES;
}

/** Follows the manifest, which the product's own interface needs. */
function followManifest(running: Running): void {
  const { platform, clock, logger, ending, manifest } = running;
  const take = (records: KeyedRecord[]) => {
    const { isNewer, unreadable } = manifest.take(records);
    for (const key of unreadable) {
      logger.part("manifest").error("Skipped an unreadable record.", {
        key,
      });
    }
    if (!isNewer) return;
    logger.part("manifest").info("A manifest is in force.", {
      version: manifest.current()?.version ?? 0,
      author: manifest.current()?.author ?? "",
    });
  };
  followTopic({
    store: platform.store,
    clock,
    logger: logger.part("store"),
    waitMs: FOLLOW_WAIT_MS,
    pauseMs: () => 0,
    partition: MANIFEST_PARTITION,
    onSnapshot: take,
    onRecords: take,
    signal: ending.signal,
  });
}

/** Tells the other instances where this one is. */
export async function announce(
  running: Running,
  announcement: Announcement,
): Promise<void> {
  const { platform, clock, self, stopping } = running;
  const record = { key: self, value: JSON.stringify(announcement) };
  while (!stopping.signal.aborted) {
    const { signal } = stopping;
    const done = await platform.store.append(
      INSTANCES,
      [record],
      undefined,
      signal,
    );
    if (done.isOk()) return;
    await clock.sleep(ANNOUNCE_RETRY_MS, signal);
  }
}
