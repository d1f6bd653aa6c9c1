/**
 * Takes submissions, under an issued id or under a caller's own key.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import { claimOf } from "../log_state/mod.ts";
import { holderOf, membersOf } from "../membership/mod.ts";
import type { Submission } from "../model/mod.ts";
import { commit, commitInBackground } from "./appends.ts";
import { checkSubmission, submissionDigest } from "./checked_request.ts";
import type { Flow } from "./flow.ts";
import { answerForLostHome } from "./lost_home.ts";
import { acceptanceSchema, type PeerMessage } from "./peer_message.ts";
import { pastView, waitForOutcome } from "./read_flow.ts";
import {
  conflict,
  keyUnavailable,
  notReady,
  refusalWhenUnready,
  unknownId,
  unreachable,
} from "./refusals.ts";
import {
  issueRequestId,
  readRequestId,
  type RequestIdParts,
} from "./request_ids.ts";
import type { Durability, RequestEntry } from "./request_entry.ts";
import { enterRequest } from "./requests.ts";
import { queueTasks } from "./task_queue.ts";
import { forward, routeOf } from "./routes.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { LOG_TOPIC } from "./topics.ts";
import type { CallAnswer } from "./view.ts";
import { callPeer, waitForNotice } from "./waits.ts";

/** How long a submission waits for the log before a peer keeps a copy. */
const LOG_PATIENCE_MS = 1_000;
/** How long a keyed submission waits for its claim. */
const CLAIM_TIMEOUT_MS = 2_000;
/** Time-out of leaving a copy at a peer. */
const COPY_TIMEOUT_MS = 1_000;

/** Issues a request id to a customer. */
export function issue(scheduler: Scheduler, customer: string): CallAnswer {
  const refusal = refusalWhenUnready(scheduler);
  if (refusal !== undefined) return refusal;
  return { kind: "issued", id: nextRequestId(scheduler, customer) };
}

/** Takes a submission under an issued id. */
export function* submit(
  scheduler: Scheduler,
  customer: string,
  requestId: string,
  submission: Submission,
  waitMs: number,
  isForwarded: boolean,
): Flow<CallAnswer> {
  const { secret } = scheduler.options;
  const parts = readRequestId(secret, requestId, customer);
  if (parts === undefined) return unknownId();
  const route = routeOf(scheduler, requestId, parts, isForwarded);
  switch (route.kind) {
    case "here":
      return yield* submitHere(
        scheduler,
        customer,
        requestId,
        parts,
        submission,
        waitMs,
      );
    case "peer":
      return yield* forward(route.peer, requestId, {
        kind: "submit",
        customer,
        requestId,
        submission,
        waitMs,
      }, waitMs);
    case "search":
      return yield* answerForLostHome(scheduler, requestId, parts);
    case "unreachable":
      return unreachable(requestId);
    default:
      return assertNever(route);
  }
}

/** Takes a submission under the caller's own idempotency key. */
export function* submitKeyed(
  scheduler: Scheduler,
  customer: string,
  key: string,
  submission: Submission,
  waitMs: number,
): Flow<CallAnswer> {
  const refusal = refusalWhenUnready(scheduler);
  if (refusal !== undefined) return refusal;
  const digest = submissionDigest(submission);
  let claim = claimOf(scheduler.log, customer, key);
  if (claim === undefined) {
    const requestId = nextRequestId(scheduler, customer);
    const record = { kind: "claim", customer, key, digest, requestId } as const;
    if (!scheduler.logReachable) return keyUnavailable();
    const isDurable = yield* commit(scheduler, record, CLAIM_TIMEOUT_MS);
    if (!isDurable) return keyUnavailable();
    claim = claimOf(scheduler.log, customer, key);
    if (claim === undefined) yield* waitForNotice(LOG_TOPIC, CLAIM_TIMEOUT_MS);
    claim = claimOf(scheduler.log, customer, key);
    if (claim === undefined) return keyUnavailable();
  }
  if (claim.digest !== digest) return conflict();
  const { requestId } = claim;
  return yield* submit(
    scheduler,
    customer,
    requestId,
    submission,
    waitMs,
    false,
  );
}

function* submitHere(
  scheduler: Scheduler,
  customer: string,
  requestId: string,
  parts: RequestIdParts,
  submission: Submission,
  waitMs: number,
): Flow<CallAnswer> {
  const known = scheduler.requests.get(requestId);
  if (known !== undefined) {
    if (known.request.digest !== submissionDigest(submission)) {
      return conflict();
    }
    return yield* waitForOutcome(scheduler, known, waitMs);
  }
  const past = pastView(scheduler, requestId, parts);
  if (past !== undefined) return { kind: "view", view: past };
  const refusal = refusalWhenUnready(scheduler);
  if (refusal !== undefined) return refusal;
  const { manifest } = scheduler.log;
  if (manifest === undefined) return notReady("no manifest is in force");
  const { wallMs } = scheduler.moment;
  const checked = checkSubmission(
    manifest,
    requestId,
    customer,
    submission,
    wallMs,
  );
  if (checked.isErr()) return checked.error;
  const request = checked.value;
  const entry = enterRequest(
    scheduler,
    request,
    request.tasks,
    "home",
    selfHolder(scheduler),
    "none",
  );
  note(scheduler, "request.accepted", requestId, request.work);
  queueTasks(scheduler, entry, [...entry.tasks.values()]);
  if (request.durable) {
    entry.durability = yield* keepDurably(scheduler, entry);
  }
  return yield* waitForOutcome(scheduler, entry, waitMs);
}

/**
 * Keeps durable work in the log, or at a peer of the zone while the log is
 * down. It may start meanwhile, since its home answers for it either way.
 */
function* keepDurably(
  scheduler: Scheduler,
  entry: RequestEntry,
): Flow<Durability> {
  const { request } = entry;
  const record = { kind: "accepted", request } as const;
  if (scheduler.logReachable) {
    if (yield* commit(scheduler, record, LOG_PATIENCE_MS)) return "log";
  } else {
    commitInBackground(scheduler, record);
  }
  const self = selfHolder(scheduler);
  const peers = membersOf(scheduler.membership, scheduler.self.zone)
    .filter((peer) => holderOf(peer) !== self);
  for (const peer of peers) {
    const message: PeerMessage = { kind: "copy", request };
    const result = yield* callPeer(
      peer.url,
      message,
      acceptanceSchema,
      COPY_TIMEOUT_MS,
    );
    if (result.isOk() && result.value.accepted) return "peer";
  }
  return "none";
}

function nextRequestId(scheduler: Scheduler, customer: string): string {
  const sequence = Math.max(scheduler.nextSequence, scheduler.moment.wallMs);
  scheduler.nextSequence = sequence + 1;
  const { options, self } = scheduler;
  return issueRequestId(options.secret, self, sequence, customer);
}
