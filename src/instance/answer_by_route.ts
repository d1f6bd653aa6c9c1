import { assertNever } from "../base/mod.ts";
import type { Flow } from "./flow.ts";
import { answerForLostHome, type KnownDurability } from "./lost_home.ts";
import type { PeerMessage } from "./peer_message.ts";
import { unreachable } from "./refusals.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { forward, routeOf } from "./routes.ts";
import type { Scheduler } from "./scheduler.ts";
import type { CallAnswer } from "./view.ts";

/** A call for one request, as it is passed on or answered here. */
export type RoutedCall = {
  requestId: string;
  parts: RequestIdParts;
  /** What a peer is sent that can answer. */
  message: PeerMessage;
  /** Whether the work is durable; asked only for a lost home. */
  durability: () => KnownDurability;
  waitMs: number;
  /** Whether a peer passed the call on; it goes no further. */
  isForwarded: boolean;
};

/**
 * Answers a call where its request's home is: here, at a peer, or, where the
 * home is lost, by what the peers remember.
 *
 * @param answerHere answers the call if this instance is the home
 */
export function* answerByRoute(
  scheduler: Scheduler,
  call: RoutedCall,
  answerHere: () => Flow<CallAnswer>,
): Flow<CallAnswer> {
  const { requestId, parts, message, waitMs } = call;
  const route = routeOf(scheduler, requestId, parts, call.isForwarded);
  switch (route.kind) {
    case "here":
      return yield* answerHere();
    case "peer": {
      const { peer } = route;
      return yield* forward(scheduler, peer, requestId, message, waitMs);
    }
    case "search":
      return yield* answerForLostHome(
        scheduler,
        requestId,
        parts,
        call.durability(),
      );
    case "unreachable":
      return unreachable(requestId);
    default:
      return assertNever(route);
  }
}
