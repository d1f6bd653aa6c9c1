import { diagnostics } from "../diagnostics/mod.ts";
import type { Outcome } from "../model/mod.ts";
import type { AcceptedRequest } from "./accepted_request.ts";
import type { LogRecordOf } from "./log_record.ts";
import type { LogState } from "./log_state.ts";

/** How long the outcome of ended work is kept. */
export const OUTCOME_RETENTION_MS = 3_600_000;
/** How many outcomes of ended work are kept. */
export const MAX_ENDED_OUTCOMES = 5_000;
/** How long it is kept that work ended, so that a repeat stays harmless. */
export const ENDED_RETENTION_MS = 24 * 3_600_000;

/** Who adopted a request whose home is settled. */
export type Adoption = { epoch: number; holder: string };

/**
 * Folds accepted work; a repeat, or a record that comes after the end of the
 * work, has no effect.
 *
 * @example
 * ```ts
 * foldAccepted(state, record);
 * ```
 */
export function foldAccepted(
  state: LogState,
  record: LogRecordOf<"accepted">,
): void {
  const { id } = record.request;
  if (state.requests.has(id) || state.ended.has(id)) return;
  state.requests.set(id, { request: record.request, epoch: 0, ended: [] });
}

/**
 * Folds the outcomes of some tasks of durable work; the first of each task
 * holds. Workers forget tasks sooner than long work ends.
 *
 * @example
 * ```ts
 * foldProgressed(state, record);
 * ```
 */
export function foldProgressed(
  state: LogState,
  record: LogRecordOf<"progressed">,
): void {
  const accepted = state.requests.get(record.requestId);
  if (accepted === undefined || isReplaced(accepted, record.holder)) return;
  const known = new Set(accepted.ended.map((outcome) => outcome.index));
  const added = record.outcomes.filter((outcome) => !known.has(outcome.index));
  if (added.length === 0) return;
  const ended = [...accepted.ended, ...added];
  state.requests.set(record.requestId, { ...accepted, ended });
}

/**
 * Folds that a request surely did not run and never will. It has no effect on
 * work that was accepted before, and work accepted after it is ignored.
 *
 * @example
 * ```ts
 * foldVoided(state, record);
 * ```
 */
export function foldVoided(
  state: LogState,
  record: LogRecordOf<"voided">,
): void {
  if (state.requests.has(record.requestId)) return;
  const { code, template } = diagnostics.homeSettled;
  const outcome = { kind: "didNotRun", code, cause: template } as const;
  endRequest(state, record.requestId, outcome);
}

/**
 * Folds an adoption: of two for the same epoch, the first holds.
 *
 * @example
 * ```ts
 * foldAdopted(state, record);
 * ```
 */
export function foldAdopted(
  state: LogState,
  record: LogRecordOf<"adopted">,
): void {
  const accepted = state.requests.get(record.requestId);
  if (accepted === undefined) return;
  if (record.epoch !== accepted.epoch + 1) return;
  const { epoch, holder } = record;
  state.requests.set(record.requestId, { ...accepted, epoch, holder });
}

/**
 * Folds the end of work; the first outcome holds.
 *
 * @example
 * ```ts
 * foldEnded(state, record);
 * ```
 */
export function foldEnded(
  state: LogState,
  record: LogRecordOf<"ended">,
): void {
  const accepted = state.requests.get(record.requestId);
  if (accepted !== undefined && isReplaced(accepted, record.holder)) return;
  endRequest(state, record.requestId, record.outcome);
}

function endRequest(
  state: LogState,
  requestId: string,
  outcome: Outcome,
): void {
  state.requests.delete(requestId);
  if (state.ended.has(requestId)) return;
  const atMs = state.clockMs;
  state.ended.set(requestId, atMs);
  state.outcomes.set(requestId, { requestId, atMs, outcome });
  forgetOutcomes(state);
}

/** Tells whether another instance has adopted the work of a holder. */
function isReplaced(accepted: AcceptedRequest, holder: string): boolean {
  return accepted.holder !== undefined && accepted.holder !== holder;
}

/**
 * Drops what is kept of ended work after its retention.
 *
 * @example
 * ```ts
 * forgetEnded(state);
 * ```
 */
export function forgetEnded(state: LogState): void {
  for (const [id, atMs] of state.ended) {
    if (atMs + ENDED_RETENTION_MS > state.clockMs) break;
    state.ended.delete(id);
  }
  forgetOutcomes(state);
}

/**
 * Lists the durable work that has not ended, in the order of acceptance.
 *
 * @example
 * ```ts
 * for (const { request, epoch, holder } of acceptedRequests(state)) {
 *   if (epoch === 0 && isSettled(request.id)) adopt(request);
 * }
 * ```
 */
export function acceptedRequests(
  state: LogState,
): IterableIterator<AcceptedRequest> {
  return state.requests.values();
}

/**
 * Tells who adopted a request; undefined while its own home has it.
 *
 * @example
 * ```ts
 * adoptionOf(state, requestId)?.holder === self;
 * ```
 */
export function adoptionOf(
  state: LogState,
  requestId: string,
): Adoption | undefined {
  const accepted = state.requests.get(requestId);
  if (accepted?.holder === undefined) return undefined;
  return { epoch: accepted.epoch, holder: accepted.holder };
}

/**
 * Tells the outcome of work that ended, while it is kept.
 *
 * @example
 * ```ts
 * const outcome = endedOf(state, requestId);
 * ```
 */
export function endedOf(
  state: LogState,
  requestId: string,
): Outcome | undefined {
  return state.outcomes.get(requestId)?.outcome;
}

/** Outcomes are dropped oldest first, so the kept ones are the newest. */
function forgetOutcomes(state: LogState): void {
  for (const [id, { atMs }] of state.outcomes) {
    const isOld = atMs + OUTCOME_RETENTION_MS <= state.clockMs;
    if (!isOld && state.outcomes.size <= MAX_ENDED_OUTCOMES) return;
    state.outcomes.delete(id);
  }
}
