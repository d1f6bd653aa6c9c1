/**
 * Calls to the owner of a domain that wait for its commits.
 *
 * @module
 */
import {
  type DomainCommand,
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

/**
 * While an append has no answer, rejects the pending calls that have had no
 * effect: reads, and submissions whose records have not been sent to the store.
 * No task of these jobs has run or will run.
 *
 * A job that another call has changed since, such as its cancellation, is not
 * withdrawn: the answer to that call relies on the job's record.
 */
export function rejectUncommitted(state: OwnerState): void {
  const { host, writer } = state;
  const silentMs = writer.appendAgeMs();
  if (silentMs <= STORE_DOWN_AFTER_MS) return;
  rejectCalls(state, [...state.pendingReads], silentMs);
  const withdrawable = state.uncommittedJobs.withdrawAll();
  if (withdrawable.length === 0) return;
  const callsByJob = groupCallsByJob(state);
  for (const { job, calls } of withdrawable) {
    const submissions = new Set(calls);
    const isChanged = (callsByJob.get(job) ?? [])
      .some((call) => !submissions.has(call));
    if (isChanged && isOpen(state, job)) continue;
    if (!isChanged) withdraw(state, job);
    removeAnswers(state, submissions);
    host.logger.info(
      isChanged
        ? "Rejected submissions of a job that ended before it was stored."
        : "Withdrew a job because the store does not answer.",
      { job, submissions: calls.length, silentMs: Math.round(silentMs) },
    );
    rejectCalls(state, calls, silentMs);
  }
}

function rejectCalls(
  { pendingCalls }: OwnerState,
  numbers: number[],
  silentMs: number,
): void {
  for (const number of numbers) {
    pendingCalls.get(number)?.({ kind: "storeDown", silentMs });
    pendingCalls.delete(number);
  }
}

function groupCallsByJob({ callJobs }: OwnerState): Map<string, number[]> {
  const callsByJob = new Map<string, number[]>();
  for (const [call, job] of callJobs) {
    const known = callsByJob.get(job);
    if (known === undefined) callsByJob.set(job, [call]);
    else known.push(call);
  }
  return callsByJob;
}

function isOpen({ domain }: OwnerState, job: string): boolean {
  return domain.jobs.get(job)?.job.outcome === "open";
}

/** Removes a job, and the orders for its tasks, which have not been sent. */
function withdraw(state: OwnerState, job: string): void {
  emit(state, { kind: "withdrawn", job });
  const prefix = `${job}.`;
  retainCommands(
    state,
    (command) =>
      command.kind !== "order" || !command.order.task.startsWith(prefix),
  );
}

function removeAnswers(state: OwnerState, calls: Set<number>): void {
  retainCommands(
    state,
    (command) => command.kind !== "answer" || !calls.has(command.call),
  );
}

function retainCommands(
  { pendingCommands }: OwnerState,
  isRetained: (command: DomainCommand) => boolean,
): void {
  pendingCommands.push(...pendingCommands.splice(0).filter(isRetained));
}
