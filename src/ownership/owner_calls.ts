/**
 * Calls to the owner of a domain that wait for its commits.
 *
 * @module
 */
import {
  confirmOwnership,
  type DomainEvent,
  type JobState,
} from "../domain/mod.ts";
import type { OwnerAnswer, OwnerUnavailable } from "./owner_answer.ts";
import { emit, type OwnerState } from "./owner_state.ts";

/** An append without an answer for this long means that the store is down. */
const STORE_DOWN_AFTER_MS = 800;

/** Takes a call on, unless the store is down; resolves after its commit. */
export function applyCall(
  state: OwnerState,
  createEvent: (number: number) => DomainEvent,
): Promise<OwnerAnswer> {
  return new Promise((resolve) => {
    if (state.host.signal.aborted) return resolve({ kind: "lost" });
    const silentMs = state.writer.stalledMs();
    if (silentMs > STORE_DOWN_AFTER_MS) {
      return resolve({ kind: "storeDown", silentMs });
    }
    const number = state.nextCallNumber++;
    state.pendingCalls.set(number, resolve);
    emit(state, createEvent(number));
  });
}

/**
 * Waits until a state may be told: a final one has to be in the store first.
 *
 * @returns why it may not be told; undefined where it may
 */
export async function waitUntilReportable(
  state: OwnerState,
  jobState: JobState | "unknownJob",
): Promise<OwnerUnavailable | undefined> {
  if (jobState === "pending" || jobState === "running") return undefined;
  const silentMs = state.writer.stalledMs();
  if (silentMs > STORE_DOWN_AFTER_MS) return { kind: "storeDown", silentMs };
  // A successor may know the job.
  if (jobState === "unknownJob") confirmOwnership(state.domain);
  return await waitForCommit(state);
}

/**
 * Waits until everything so far is in the store.
 *
 * @returns why it is not; undefined where it is
 */
export async function waitForCommit(
  state: OwnerState,
): Promise<OwnerUnavailable | undefined> {
  const { domain, pendingCommands, writer, host } = state;
  if (host.signal.aborted) return { kind: "lost" };
  if (writer.isIdle() && domain.dirty.size === 0) return undefined;
  return await new Promise((resolve) => {
    const number = state.nextCallNumber++;
    state.pendingReads.add(number);
    state.pendingCalls.set(number, (answer) => {
      state.pendingReads.delete(number);
      const isUnavailable = answer.kind === "lost" ||
        answer.kind === "storeDown";
      resolve(isUnavailable ? answer : undefined);
    });
    pendingCommands.push({
      kind: "answer",
      call: number,
      answer: { kind: "accepted" },
    });
    writer.requestCommit();
  });
}

/** Tells every caller that the ownership has ended. */
export function failPendingCalls(state: OwnerState): void {
  for (const resolve of state.pendingCalls.values()) resolve({ kind: "lost" });
  state.pendingCalls.clear();
}

/**
 * Refuses what waits behind an append without an answer and has no effect:
 * questions, and submissions of which nothing has left the process, so that
 * none has run or will.
 */
export function rejectUncommitted(state: OwnerState): void {
  const { host, writer, pendingCommands, pendingCalls } = state;
  const silentMs = writer.stalledMs();
  if (silentMs <= STORE_DOWN_AFTER_MS) return;
  for (const number of [...state.pendingReads]) {
    pendingCalls.get(number)?.({ kind: "storeDown", silentMs });
    pendingCalls.delete(number);
  }
  for (const { job, calls: numbers } of state.uncommittedJobs.withdrawAll()) {
    emit(state, { kind: "withdrawn", job });
    const prefix = `${job}.`;
    const kept = pendingCommands.splice(0).filter((command) => {
      if (command.kind === "answer") return !numbers.includes(command.call);
      return command.kind !== "order" ||
        !command.order.task.startsWith(prefix);
    });
    pendingCommands.push(...kept);
    host.logger.info("Withdrew a job because the store does not answer.", {
      job,
      silentMs: Math.round(silentMs),
    });
    for (const number of numbers) {
      pendingCalls.get(number)?.({ kind: "storeDown", silentMs });
      pendingCalls.delete(number);
    }
  }
}
