/**
 * Exchanges heartbeats, and gives up an incarnation that was barred.
 *
 * @module
 */
import {
  advance,
  buildHeartbeat,
  createHeartbeatLink,
  type HeartbeatFrame,
  heartbeatFrameSchema,
  type HeartbeatLink,
  holderOf,
  isSelfBarred,
  peersToBeat,
  readHeartbeat,
  receiveHeartbeat,
  reincarnate,
  writeHeartbeat,
} from "../membership/mod.ts";
import { placementLoad } from "../placement/mod.ts";
import type { Flow } from "./flow.ts";
import { heldLeases } from "./held_workers.ts";
import { applyPlacement } from "./placement_driver.ts";
import { requeueUnstarted } from "./task_queue.ts";
import { endLostForwards } from "./routes.ts";
import { notify, spawn } from "./runner.ts";
import { keepCopy, note, type Scheduler, selfHolder } from "./scheduler.ts";
import { OWNERSHIP_TOPIC } from "./topics.ts";
import { callPeer, sleep } from "./waits.ts";

/** How often membership is looked at. */
const MEMBERSHIP_TICK_MS = 100;
/** Time-out of one heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** Largest random part of an incarnation. */
const MAX_INCARNATION_PART = 36 ** 4 - 1;

/** Keeps the membership up to date for as long as it runs. */
export function* keepMembership(scheduler: Scheduler): Flow<void> {
  while (true) {
    const { membership, moment } = scheduler;
    const { barred } = advance(membership, moment.steadyMs);
    for (const instance of barred) {
      note(scheduler, "member.barred", holderOf(instance));
    }
    if (barred.length > 0) notify(scheduler.runner, OWNERSHIP_TOPIC);
    endLostForwards(scheduler);
    if (isSelfBarred(membership)) takeNewIncarnation(scheduler);
    for (const peer of peersToBeat(membership, moment.steadyMs)) {
      spawn(scheduler.runner, beat(scheduler, peer.url));
    }
    yield* sleep(MEMBERSHIP_TICK_MS);
  }
}

/** Takes in the heartbeat of a peer, and answers with our own. */
export function answerHeartbeat(
  scheduler: Scheduler,
  sender: string,
  frame: HeartbeatFrame,
): HeartbeatFrame {
  takeFrame(scheduler, sender, frame);
  return frameFor(scheduler, sender);
}

/** Makes a new incarnation, which no process has used before. */
export function newIncarnation(scheduler: Scheduler): string {
  const random = scheduler.randomness.integer(0, MAX_INCARNATION_PART);
  return scheduler.moment.wallMs.toString(36) + random.toString(36);
}

function* beat(scheduler: Scheduler, url: string): Flow<void> {
  const sentBy = selfHolder(scheduler);
  const sender = scheduler.self.url;
  const result = yield* callPeer(
    url,
    { kind: "heartbeat", sender, frame: frameFor(scheduler, url) },
    heartbeatFrameSchema,
    HEARTBEAT_TIMEOUT_MS,
  );
  if (result.isErr()) return;
  if (sentBy !== selfHolder(scheduler)) return;
  takeFrame(scheduler, url, result.value);
}

function takeFrame(
  scheduler: Scheduler,
  url: string,
  frame: HeartbeatFrame,
): void {
  const heartbeat = readHeartbeat(linkOf(scheduler, url), frame);
  if (heartbeat === undefined) return;
  const { membership, moment } = scheduler;
  receiveHeartbeat(membership, heartbeat, moment.steadyMs);
}

function frameFor(scheduler: Scheduler, url: string): HeartbeatFrame {
  const heartbeat = buildHeartbeat(scheduler.membership, {
    leaving: scheduler.draining,
    version: scheduler.log.version,
    held: heldLeases(scheduler),
    unreachable: unreachableWorkers(scheduler),
    load: placementLoad(scheduler.placement),
  });
  return writeHeartbeat(linkOf(scheduler, url), heartbeat);
}

function linkOf(scheduler: Scheduler, url: string): HeartbeatLink {
  const known = scheduler.links.get(url);
  if (known !== undefined) return known;
  const link = createHeartbeatLink();
  scheduler.links.set(url, link);
  return link;
}

function unreachableWorkers(scheduler: Scheduler): string[] {
  const silent = [...scheduler.held.values()]
    .filter((held) => !held.reachable)
    .map((held) => held.address.id);
  return [...new Set([...scheduler.unreachable, ...silent])];
}

/**
 * Goes on under a new incarnation. Peers may already have told callers that
 * requests of the old one did not run, so none of them is started any more.
 */
function takeNewIncarnation(scheduler: Scheduler): void {
  const before = selfHolder(scheduler);
  scheduler.formerHolders.add(before);
  scheduler.self = {
    ...scheduler.self,
    incarnation: newIncarnation(scheduler),
  };
  scheduler.incarnatedAtMs = scheduler.moment.wallMs;
  scheduler.timeLine.incarnation = scheduler.self.incarnation;
  reincarnate(scheduler.membership, scheduler.self);
  note(scheduler, "instance.reincarnated", selfHolder(scheduler), before);
  for (const entry of scheduler.requests.values()) {
    const isDurable = entry.request.durable && entry.role === "home";
    for (const task of entry.tasks.values()) {
      if (task.progress.kind !== "queued") continue;
      const taskIds = [task.task.id];
      applyPlacement(scheduler, { kind: "withdrawn", taskIds });
      if (!isDurable) requeueUnstarted(scheduler, entry, task);
    }
    // Another instance adopts durable work through the log.
    if (isDurable && entry.outcome === undefined) {
      scheduler.requests.delete(entry.request.id);
      keepCopy(scheduler, entry.request);
    }
  }
  notify(scheduler.runner, OWNERSHIP_TOPIC);
}
