/**
 * Takes submissions, under an issued id or under a caller's own key.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../diagnostics/mod.ts";
import { type Claim, claimOf } from "../log_state/mod.ts";
import { holderOf, membersOf } from "../membership/mod.ts";
import type { Request, Submission } from "../model/mod.ts";
import { makeRoom } from "./admission.ts";
import { answerByRoute } from "./answer_by_route.ts";
import { commit, commitInBackground } from "./appends.ts";
import { checkSubmission, submissionDigest } from "./checked_request.ts";
import type { Flow } from "./flow.ts";
import type { KnownDurability } from "./lost_home.ts";
import { acceptanceSchema, type PeerMessage } from "./peer_message.ts";
import { pastView, waitForOutcome } from "./read_flow.ts";
import {
  conflict,
  keyUnavailable,
  notReady,
  queueFull,
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
import { untilReached } from "./routes.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { LOG_TOPIC } from "./topics.ts";
import type { CallAnswer } from "./view.ts";
import { callPeer, waitForNotice } from "./waits.ts";

/** How long a submission waits for the log before a peer keeps a copy. */
const LOG_PATIENCE_MS = 1_000;
/** How long a keyed submission waits for its claim. */
const CLAIM_TIMEOUT_MS = 2_000;
/** Reasons for which a key goes on with another request. */
const CLAIMABLE_CODES: number[] = [
  diagnostics.homeSettled.code,
  diagnostics.refusedEarlier.code,
];
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
  const submitted = { customer, requestId, submission };
  return yield* untilReached(
    scheduler,
    waitMs,
    (leftMs) => submitOnce(scheduler, submitted, parts, leftMs, isForwarded),
  );
}

/** A submission with its customer and its id. */
type Submitted = {
  customer: string;
  requestId: string;
  submission: Submission;
};

function* submitOnce(
  scheduler: Scheduler,
  submitted: Submitted,
  parts: RequestIdParts,
  waitMs: number,
  isForwarded: boolean,
): Flow<CallAnswer> {
  const { customer, requestId, submission } = submitted;
  return yield* answerByRoute(scheduler, {
    requestId,
    parts,
    message: { kind: "submit", ...submitted, waitMs },
    durability: () => durabilityOf(scheduler, customer, submission),
    waitMs,
    isForwarded,
  }, () => submitHere(scheduler, submitted, parts, waitMs));
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
  if (refusal !== undefined) return withoutVerdict(refusal);
  const digest = submissionDigest(submission);
  let claim = claimOf(scheduler.log, customer, key) ??
    (yield* claimKey(scheduler, customer, key, digest, undefined));
  while (claim !== undefined) {
    if (claim.digest !== digest) return conflict();
    const { requestId } = claim;
    const answer = yield* submit(
      scheduler,
      customer,
      requestId,
      submission,
      waitMs,
      false,
    );
    if (!mayClaimAgain(answer)) return answer;
    // The request surely did not run: the key goes on with another one.
    claim = yield* claimKey(scheduler, customer, key, digest, requestId);
  }
  return keyUnavailable();
}

/**
 * Binds a key to a new request id through the log.
 *
 * @param replaces the request that the key was bound to and that did not run
 * @returns the claim that holds, which may be another caller's
 */
function* claimKey(
  scheduler: Scheduler,
  customer: string,
  key: string,
  digest: string,
  replaces: string | undefined,
): Flow<Claim | undefined> {
  if (!scheduler.logReachable) return undefined;
  const requestId = nextRequestId(scheduler, customer);
  const isDurable = yield* commit(scheduler, {
    kind: "claim",
    customer,
    key,
    digest,
    requestId,
    ...(replaces === undefined ? {} : { replaces }),
  }, CLAIM_TIMEOUT_MS);
  if (!isDurable) return undefined;
  const untilMs = scheduler.moment.steadyMs + CLAIM_TIMEOUT_MS;
  while (true) {
    const claim = claimOf(scheduler.log, customer, key);
    if (claim !== undefined && claim.requestId !== replaces) return claim;
    const leftMs = untilMs - scheduler.moment.steadyMs;
    if (leftMs <= 0) return undefined;
    yield* waitForNotice(LOG_TOPIC, leftMs);
  }
}

/** An earlier call under the same key may have run, whatever became of this. */
function withoutVerdict(answer: CallAnswer): CallAnswer {
  if (answer.kind !== "problem") return answer;
  const { ran: _ran, ...rest } = answer;
  return rest;
}

/** Tells whether a claim's request did not run, and not by its caller's wish. */
function mayClaimAgain(answer: CallAnswer): boolean {
  if (answer.kind !== "view") return false;
  const { outcome } = answer.view;
  return outcome.kind === "didNotRun" &&
    CLAIMABLE_CODES.includes(outcome.code);
}

function* submitHere(
  scheduler: Scheduler,
  submitted: Submitted,
  parts: RequestIdParts,
  waitMs: number,
): Flow<CallAnswer> {
  const { requestId, submission } = submitted;
  const known = scheduler.requests.get(requestId);
  if (known?.role === "guest") return unreachable(requestId);
  if (known !== undefined) {
    if (known.request.digest !== submissionDigest(submission)) {
      return conflict();
    }
    return yield* waitForOutcome(scheduler, known, waitMs);
  }
  const past = pastView(scheduler, requestId, parts);
  if (past !== undefined) return { kind: "view", view: past };
  const checked = admitSubmission(scheduler, submitted);
  if (checked.isErr()) {
    scheduler.refusedIds.set(requestId, scheduler.moment.steadyMs);
    return checked.error;
  }
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

/** Checks whether a submission can be taken now, and makes room for it. */
function admitSubmission(
  scheduler: Scheduler,
  submitted: Submitted,
): Result<Request, CallAnswer> {
  const refusal = refusalWhenUnready(scheduler);
  if (refusal !== undefined) return err(refusal);
  const { manifest } = scheduler.log;
  if (manifest === undefined) return err(notReady("no manifest is in force"));
  const { customer, requestId, submission } = submitted;
  const { wallMs } = scheduler.moment;
  const checked = checkSubmission(
    manifest,
    requestId,
    customer,
    submission,
    wallMs,
  );
  if (checked.isErr()) return err(checked.error);
  const count = checked.value.tasks.length;
  if (!makeRoom(scheduler, customer, count)) return err(queueFull());
  return ok(checked.value);
}

/** Says whether a submission is durable work by the manifest in force. */
function durabilityOf(
  scheduler: Scheduler,
  customer: string,
  submission: Submission,
): KnownDurability {
  const { manifest } = scheduler.log;
  if (manifest === undefined) return "unknown";
  const request = checkSubmission(manifest, "", customer, submission, 0);
  if (request.isErr()) return "unknown";
  return request.value.durable ? "durable" : "volatile";
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
