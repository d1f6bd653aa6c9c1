/**
 * Calls to the owner of a domain that wait for its commits.
 *
 * @module
 */
import {
  type DomainEvent,
  isOutcomeStored,
  type JobState,
  verifyOwnershipOnCommit,
} from "../domain/mod.ts";
import type { OwnerAnswer, OwnerUnavailable } from "./owner_answer.ts";
import { emit, type OwnerState } from "./owner_state.ts";

/** The store counts as down after an append without an answer for this time. */
export const STORE_DOWN_AFTER_MS = 800;

/**
 * Applies a call to the domain, unless the store is down. Resolves after the
 * commit of its changes.
 */
export function applyCall(
  state: OwnerState,
  job: string,
  createEvent: (number: number) => DomainEvent,
): Promise<OwnerAnswer> {
  return new Promise((resolve) => {
    if (state.host.signal.aborted) return resolve({ kind: "lost" });
    const silentMs = state.writer.appendAgeMs();
    if (silentMs > STORE_DOWN_AFTER_MS) {
      return resolve({ kind: "storeDown", silentMs });
    }
    const number = state.nextCallNumber++;
    state.callJobs.set(number, job);
    state.pendingCalls.set(number, (answer) => {
      state.callJobs.delete(number);
      resolve(answer);
    });
    emit(state, createEvent(number));
  });
}

/**
 * Waits until a job state may be reported. A final state has to be in the store
 * first; then it is reported whether or not the store answers.
 *
 * @returns why the state cannot be reported; undefined if it can
 */
export async function waitUntilReportable(
  state: OwnerState,
  job: string,
  jobState: JobState | "unknownJob",
): Promise<OwnerUnavailable | undefined> {
  if (jobState === "pending" || jobState === "running") return undefined;
  const isUnknown = jobState === "unknownJob";
  if (!isUnknown && isOutcomeStored(state.domain, job)) return undefined;
  const silentMs = state.writer.appendAgeMs();
  if (silentMs > STORE_DOWN_AFTER_MS) return { kind: "storeDown", silentMs };
  if (!isUnknown) return await waitForOutcome(state, job);
  // A successor may have accepted the job.
  verifyOwnershipOnCommit(state.domain);
  return await waitForCommit(state);
}

/** Answers the reads that waited for ends which are now in the store. */
export function answerOutcomeReads(state: OwnerState): void {
  for (const [number, job] of state.outcomeReads) {
    if (!isOutcomeStored(state.domain, job)) continue;
    state.pendingCalls.get(number)?.({ kind: "accepted" });
    state.pendingCalls.delete(number);
  }
}

/** Waits until the end of a job is in the store. */
async function waitForOutcome(
  state: OwnerState,
  job: string,
): Promise<OwnerUnavailable | undefined> {
  if (state.host.signal.aborted) return { kind: "lost" };
  return await new Promise((resolve) => {
    const number = addPendingRead(state, resolve);
    state.outcomeReads.set(number, job);
    state.writer.requestCommit();
  });
}

/**
 * Waits until all changes so far are in the store.
 *
 * @returns why they are not; undefined if they are
 */
export async function waitForCommit(
  state: OwnerState,
): Promise<OwnerUnavailable | undefined> {
  const { domain, pendingCommands, writer, host } = state;
  if (host.signal.aborted) return { kind: "lost" };
  if (writer.isIdle() && domain.dirtyKeys.size === 0) return undefined;
  return await new Promise((resolve) => {
    const number = addPendingRead(state, resolve);
    pendingCommands.push({
      kind: "answer",
      call: number,
      answer: { kind: "accepted" },
    });
    writer.requestCommit();
  });
}

/** Adds a call that changes nothing; returns its number. */
function addPendingRead(
  state: OwnerState,
  resolve: (unavailable: OwnerUnavailable | undefined) => void,
): number {
  const number = state.nextCallNumber++;
  state.pendingReads.add(number);
  state.pendingCalls.set(number, (answer) => {
    state.pendingReads.delete(number);
    state.outcomeReads.delete(number);
    const isUnavailable = answer.kind === "lost" || answer.kind === "storeDown";
    resolve(isUnavailable ? answer : undefined);
  });
  return number;
}

/** Answers all pending calls with `lost` when the ownership ends. */
export function failPendingCalls(state: OwnerState): void {
  for (const resolve of state.pendingCalls.values()) resolve({ kind: "lost" });
  state.pendingCalls.clear();
}
