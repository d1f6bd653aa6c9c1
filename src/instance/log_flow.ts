/**
 * Follows the log, and the manifests of peers while the log is down.
 *
 * @module
 */
import {
  applyManifest,
  foldPage,
  needsRepair,
  needsSnapshot,
  takeSnapshot,
} from "../log_state/mod.ts";
import {
  heardMembers,
  holderOf,
  membersOf,
  rendezvousOrder,
} from "../membership/mod.ts";
import { commitInBackground } from "./appends.ts";
import type { Flow } from "./flow.ts";
import { manifestAnswerSchema } from "./peer_message.ts";
import { applyPlacement } from "./placement_driver.ts";
import { notify } from "./runner.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { LOG_TOPIC } from "./topics.ts";
import { callPeer, readLog, sleep } from "./waits.ts";

/** How long the log may hold back the answer to a read. */
const READ_WAIT_MS = 5_000;
/** Delay after a failed read. */
const READ_RETRY_MS = 500;
/** How long a reader that missed entries waits for a snapshot of others. */
const REPAIR_PATIENCE_MS = 30_000;
/** How often peers are asked for a newer manifest. */
const GOSSIP_INTERVAL_MS = 500;
/** Time-out of asking a peer for its manifest. */
const GOSSIP_TIMEOUT_MS = 1_500;

/** Reads and folds the log for as long as it runs. */
export function* followLog(scheduler: Scheduler): Flow<void> {
  let unsyncedSinceMs: number | undefined;
  while (true) {
    const result = yield* readLog(scheduler.log.nextOffset, READ_WAIT_MS);
    if (result.isErr()) {
      setLogReachable(scheduler, false);
      yield* sleep(READ_RETRY_MS);
      continue;
    }
    setLogReachable(scheduler, true);
    const page = result.value;
    const { manifestChanged, gap } = foldPage(scheduler.log, page);
    if (gap) note(scheduler, "log.gap", String(page.firstOffset));
    if (scheduler.log.nextOffset >= page.nextOffset) {
      scheduler.logCaughtUp = true;
    }
    if (manifestChanged) putInForce(scheduler);
    notify(scheduler.runner, LOG_TOPIC);
    unsyncedSinceMs = needsRepair(scheduler.log, page)
      ? unsyncedSinceMs ?? scheduler.moment.steadyMs
      : undefined;
    const isDue = needsSnapshot(scheduler.log, page) ||
      isRepairDue(scheduler, unsyncedSinceMs);
    if (!isDue || !isSnapshotter(scheduler)) continue;
    commitInBackground(scheduler, takeSnapshot(scheduler.log));
    unsyncedSinceMs = undefined;
    yield* sleep(READ_RETRY_MS);
  }
}

/**
 * Tells whether nobody has written a snapshot for long enough after the log
 * was trimmed past this reader. Then nobody who missed nothing is left.
 */
function isRepairDue(
  scheduler: Scheduler,
  unsyncedSinceMs: number | undefined,
): boolean {
  if (unsyncedSinceMs === undefined) return false;
  const waitedMs = scheduler.moment.steadyMs - unsyncedSinceMs;
  return waitedMs >= REPAIR_PATIENCE_MS;
}

/** Takes newer manifests from peers for as long as it runs. */
export function* followPeerManifests(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(GOSSIP_INTERVAL_MS);
    if (scheduler.logReachable && scheduler.logCaughtUp) continue;
    const ahead = heardMembers(scheduler.membership).find((member) =>
      member.heartbeat.version > scheduler.log.version
    );
    if (ahead === undefined) continue;
    const afterVersion = scheduler.log.version;
    const result = yield* callPeer(
      ahead.instance.url,
      { kind: "manifest", afterVersion },
      manifestAnswerSchema,
      GOSSIP_TIMEOUT_MS,
    );
    if (result.isErr()) continue;
    const { version, entry } = result.value;
    if (entry === undefined) continue;
    if (applyManifest(scheduler.log, version, entry)) putInForce(scheduler);
  }
}

function putInForce(scheduler: Scheduler): void {
  const { manifest, version } = scheduler.log;
  if (manifest === undefined) return;
  note(scheduler, "manifest.inForce", String(version));
  applyPlacement(scheduler, { kind: "manifestChanged", manifest });
}

function setLogReachable(scheduler: Scheduler, reachable: boolean): void {
  if (scheduler.logReachable === reachable) return;
  scheduler.logReachable = reachable;
  note(scheduler, reachable ? "log.reached" : "log.lost");
}

/** Picks the one instance that appends snapshots; two do no harm. */
function isSnapshotter(scheduler: Scheduler): boolean {
  const members = heardMembers(scheduler.membership)
    .map((member) => member.instance);
  const { zone } = scheduler.self;
  const self = membersOf(scheduler.membership, zone)
    .filter((instance) => holderOf(instance) === selfHolder(scheduler));
  const first = rendezvousOrder([...members, ...self], "snapshot")[0];
  return first !== undefined && holderOf(first) === selfHolder(scheduler);
}
