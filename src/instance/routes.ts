/**
 * Who answers for a request, and how a call gets there.
 *
 * @module
 */
import { holderOf, memberOf, membersOf } from "../membership/mod.ts";
import type { Instance } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import type { PeerMessage } from "./peer_message.ts";
import { unreachable } from "./refusals.ts";
import { homeOf } from "./report_flow.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { notify, type Runner, spawn } from "./runner.ts";
import { isSelf, type Scheduler } from "./scheduler.ts";
import { type CallAnswer, callAnswerSchema } from "./view.ts";
import { callPeer, sleep, waitForNotice } from "./waits.ts";

/** The longest that a call may wait for an outcome. */
export const MAX_WAIT_MS = 60_000;
/** Added to the wait of a call that is passed on, for the way. */
const FORWARD_ALLOWANCE_MS = 2_000;
/** How often a call whose home cannot be reached looks for another way. */
const REROUTE_INTERVAL_MS = 300;

/** Who can answer for a request. */
export type Route =
  | { kind: "here" }
  | { kind: "peer"; peer: Instance }
  /** The home is gone; the zone of this instance can find out what is left. */
  | { kind: "search" }
  | { kind: "unreachable" };

/**
 * Finds out who can answer for a request.
 *
 * @param isForwarded whether a peer passed the call on; it goes no further
 */
export function routeOf(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
  isForwarded: boolean,
): Route {
  const home = homeOf(scheduler, requestId);
  const entry = scheduler.requests.get(requestId);
  if (isSelf(scheduler, home) || entry?.role === "home") {
    return { kind: "here" };
  }
  const member = memberOf(scheduler.membership, home);
  if (member !== undefined) {
    return isForwarded
      ? { kind: "unreachable" }
      : { kind: "peer", peer: member };
  }
  const { zone } = parts.home;
  if (zone === scheduler.self.zone) return { kind: "search" };
  const peer = membersOf(scheduler.membership, zone)[0];
  if (peer === undefined || isForwarded) return { kind: "unreachable" };
  return { kind: "peer", peer };
}

/**
 * Passes a call on to a peer. The wait ends early when the peer is barred.
 */
export function* forward(
  scheduler: Scheduler,
  peer: Instance,
  requestId: string,
  message: PeerMessage,
  waitMs: number,
): Flow<CallAnswer> {
  const { runner, forwards } = scheduler;
  const topic = `forward:${runner.nextNumber++}`;
  const timeoutMs = Math.min(waitMs, MAX_WAIT_MS) + FORWARD_ALLOWANCE_MS;
  const call: PassedCall = { answer: undefined };
  spawn(runner, passOn(runner, call, topic, peer, message, timeoutMs));
  forwards.set(topic, holderOf(peer));
  yield* waitForNotice(topic, timeoutMs);
  forwards.delete(topic);
  return call.answer ?? unreachable(requestId);
}

/** Ends the waits for peers that are not heard any more. */
export function endLostForwards(scheduler: Scheduler): void {
  for (const [topic, holder] of scheduler.forwards) {
    if (memberOf(scheduler.membership, holder) !== undefined) continue;
    notify(scheduler.runner, topic);
  }
}

/**
 * Repeats a call until its request's home, or whoever can tell in its place,
 * is reached, or the wait is over.
 *
 * @param attempt makes the call once, with the time that is left
 */
export function* untilReached(
  scheduler: Scheduler,
  waitMs: number,
  attempt: (leftMs: number) => Flow<CallAnswer>,
): Flow<CallAnswer> {
  const untilMs = scheduler.moment.steadyMs + Math.min(waitMs, MAX_WAIT_MS);
  while (true) {
    const leftMs = Math.max(0, untilMs - scheduler.moment.steadyMs);
    const answer = yield* attempt(leftMs);
    if (!isUnreachable(answer)) return answer;
    if (scheduler.moment.steadyMs >= untilMs) return answer;
    yield* sleep(REROUTE_INTERVAL_MS);
  }
}

type PassedCall = { answer: CallAnswer | undefined };

function* passOn(
  runner: Runner,
  call: PassedCall,
  topic: string,
  peer: Instance,
  message: PeerMessage,
  timeoutMs: number,
): Flow<void> {
  const result = yield* callPeer(
    peer.url,
    message,
    callAnswerSchema,
    timeoutMs,
  );
  if (result.isOk()) call.answer = result.value;
  notify(runner, topic);
}

function isUnreachable(answer: CallAnswer): boolean {
  return answer.kind === "view" &&
    answer.view.outcome.kind === "notKnownYet" &&
    answer.view.outcome.state === "unreachable";
}
