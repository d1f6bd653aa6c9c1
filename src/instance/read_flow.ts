/**
 * Reads and cancels requests.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { endedOf } from "../log_state/mod.ts";
import { answerByRoute } from "./answer_by_route.ts";
import { cancelHere } from "./cancel_flow.ts";
import type { Flow } from "./flow.ts";
import {
  homeSettled,
  notKnown,
  RETRY_AFTER_MS,
  unknownId,
  unreachable,
} from "./refusals.ts";
import { homeOf } from "./report_flow.ts";
import { readRequestId, type RequestIdParts } from "./request_ids.ts";
import type { RequestEntry } from "./request_entry.ts";
import { MAX_WAIT_MS, untilReached } from "./routes.ts";
import { isKept, type Scheduler, selfHolder } from "./scheduler.ts";
import { requestTopic } from "./topics.ts";
import type { CallAnswer, View } from "./view.ts";
import { emptyView, viewOf } from "./views.ts";
import { waitForNotice } from "./waits.ts";

/** Reads a request, waiting for its outcome for a while. */
export function* read(
  scheduler: Scheduler,
  customer: string,
  requestId: string,
  waitMs: number,
  isForwarded: boolean,
): Flow<CallAnswer> {
  const { secret } = scheduler.options;
  const parts = readRequestId(secret, requestId, customer);
  if (parts === undefined) return unknownId();
  return yield* untilReached(
    scheduler,
    waitMs,
    (leftMs) =>
      readOnce(scheduler, customer, requestId, parts, leftMs, isForwarded),
  );
}

function* readOnce(
  scheduler: Scheduler,
  customer: string,
  requestId: string,
  parts: RequestIdParts,
  waitMs: number,
  isForwarded: boolean,
): Flow<CallAnswer> {
  return yield* answerByRoute(scheduler, {
    requestId,
    parts,
    message: { kind: "read", customer, requestId, waitMs },
    durability: () => "unknown",
    waitMs,
    isForwarded,
  }, () => readHere(scheduler, requestId, parts, waitMs));
}

/** Cancels a request: what waits is forgotten, what runs is stopped. */
export function* cancel(
  scheduler: Scheduler,
  customer: string,
  requestId: string,
  isForwarded: boolean,
): Flow<CallAnswer> {
  const { secret } = scheduler.options;
  const parts = readRequestId(secret, requestId, customer);
  if (parts === undefined) return unknownId();
  return yield* answerByRoute(scheduler, {
    requestId,
    parts,
    message: { kind: "cancel", customer, requestId },
    durability: () => "unknown",
    waitMs: 0,
    isForwarded,
  }, () => cancelOrReadHere(scheduler, requestId, parts));
}

function* cancelOrReadHere(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
): Flow<CallAnswer> {
  const entry = scheduler.requests.get(requestId);
  if (entry?.role !== "home") {
    return yield* readHere(scheduler, requestId, parts, 0);
  }
  cancelHere(scheduler, entry);
  return { kind: "view", view: viewOf(entry) };
}

function* readHere(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
  waitMs: number,
): Flow<CallAnswer> {
  const entry = scheduler.requests.get(requestId);
  if (entry?.role === "guest") return unreachable(requestId);
  if (entry !== undefined) {
    return yield* waitForOutcome(scheduler, entry, waitMs);
  }
  const past = pastView(scheduler, requestId, parts);
  if (past !== undefined) return { kind: "view", view: past };
  const { template } = diagnostics.notSubmitted;
  return {
    kind: "view",
    view: emptyView(requestId, {
      kind: "notKnownYet",
      state: "issued",
      cause: template,
      retryAfterMs: RETRY_AFTER_MS,
    }),
  };
}

/** Waits until the outcome is final, or the wait is over. */
export function* waitForOutcome(
  scheduler: Scheduler,
  entry: RequestEntry,
  waitMs: number,
): Flow<CallAnswer> {
  const untilMs = scheduler.moment.steadyMs + Math.min(waitMs, MAX_WAIT_MS);
  while (entry.outcome === undefined) {
    const leftMs = untilMs - scheduler.moment.steadyMs;
    if (leftMs <= 0) break;
    yield* waitForNotice(requestTopic(entry.request.id), leftMs);
  }
  return { kind: "view", view: viewOf(entry) };
}

/**
 * Says what is known of a request that the table does not have although its
 * home is this process: it ended long ago, or belonged to an incarnation that
 * was barred, or was never submitted (then undefined).
 */
export function pastView(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
): View | undefined {
  const ended = endedOf(scheduler.log, requestId);
  if (ended !== undefined) return emptyView(requestId, ended);
  if (parts.sequence < scheduler.forgottenBelow) {
    const { template } = diagnostics.outcomeForgotten;
    return emptyView(requestId, {
      kind: "notKnownYet",
      state: "lost",
      cause: template,
      retryAfterMs: 0,
    });
  }
  if (scheduler.refusedIds.has(requestId)) {
    const { code, template } = diagnostics.refusedEarlier;
    return emptyView(requestId, { kind: "didNotRun", code, cause: template });
  }
  if (isKept(scheduler, requestId)) return emptyView(requestId, notKnown());
  const home = homeOf(scheduler, requestId);
  if (home === selfHolder(scheduler)) return undefined;
  return emptyView(requestId, homeSettled());
}
