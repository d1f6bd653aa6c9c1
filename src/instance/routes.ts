/**
 * Who answers for a request, and how a call gets there.
 *
 * @module
 */
import { memberOf, membersOf } from "../membership/mod.ts";
import type { Instance } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import type { PeerMessage } from "./peer_message.ts";
import { unreachable } from "./refusals.ts";
import { homeOf } from "./report_flow.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { isSelf, type Scheduler } from "./scheduler.ts";
import { type CallAnswer, callAnswerSchema } from "./view.ts";
import { callPeer } from "./waits.ts";

/** The longest that a call may wait for an outcome. */
export const MAX_WAIT_MS = 60_000;
/** Added to the wait of a call that is passed on, for the way. */
const FORWARD_ALLOWANCE_MS = 2_000;

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

/** Passes a call on to the home of its request. */
export function* forward(
  peer: Instance,
  requestId: string,
  message: PeerMessage,
  waitMs: number,
): Flow<CallAnswer> {
  const result = yield* callPeer(
    peer.url,
    message,
    callAnswerSchema,
    Math.min(waitMs, MAX_WAIT_MS) + FORWARD_ALLOWANCE_MS,
  );
  return result.isOk() ? result.value : unreachable(requestId);
}
