/**
 * Calls to the owner of a domain that wait for its commits.
 *
 * @module
 */
import {
  type DomainEvent,
  type JobState,
  verifyOwnershipOnCommit,
} from "../domain/mod.ts";
import type { OwnerAnswer, OwnerSilence } from "./owner_answer.ts";
import { emit, type OwnerState } from "./owner_state.ts";

/** An append without an answer for this long means that the store is down. */
const STORE_DOWN_AFTER_MS = 800;

/** Takes a call on, unless the store is down; resolves after its commit. */
export function call(
  state: OwnerState,
  eventOf: (number: number) => DomainEvent,
): Promise<OwnerAnswer> {
  return new Promise((resolve) => {
    if (state.host.signal.aborted) return resolve({ kind: "lost" });
    const silentMs = state.writer.stalledMs();
    if (silentMs > STORE_DOWN_AFTER_MS) {
      return resolve({ kind: "storeDown", silentMs });
    }
    const number = state.nextCall++;
    state.calls.set(number, resolve);
    emit(state, eventOf(number));
  });
}

/**
 * Waits until a state may be told: a final one has to be in the store first.
 *
 * @returns why it may not be told; undefined where it may
 */
export async function awaitTellable(
  state: OwnerState,
  seen: JobState | "unknownJob",
): Promise<OwnerSilence | undefined> {
  if (seen === "pending" || seen === "running") return undefined;
  const silentMs = state.writer.stalledMs();
  if (silentMs > STORE_DOWN_AFTER_MS) return { kind: "storeDown", silentMs };
  // A successor may know the job.
  if (seen === "unknownJob") verifyOwnershipOnCommit(state.domain);
  return await settle(state);
}

/**
 * Waits until everything so far is in the store.
 *
 * @returns why it is not; undefined where it is
 */
export async function settle(
  state: OwnerState,
): Promise<OwnerSilence | undefined> {
  const { domain, waiting, writer, host } = state;
  if (host.signal.aborted) return { kind: "lost" };
  if (writer.isIdle() && domain.dirtyKeys.size === 0) return undefined;
  return await new Promise((resolve) => {
    const number = state.nextCall++;
    state.reads.add(number);
    state.calls.set(number, (answer) => {
      state.reads.delete(number);
      const isSilence = answer.kind === "lost" || answer.kind === "storeDown";
      resolve(isSilence ? answer : undefined);
    });
    waiting.push({
      kind: "answer",
      call: number,
      answer: { kind: "accepted" },
    });
    writer.kick();
  });
}

/** Tells every caller that the ownership has ended. */
export function abandonCalls(state: OwnerState): void {
  for (const resolve of state.calls.values()) resolve({ kind: "lost" });
  state.calls.clear();
}

/**
 * Refuses what waits behind an append without an answer and has no effect:
 * questions, and submissions of which nothing has left the process, so that
 * none has run or will.
 */
export function refuseUncommitted(state: OwnerState): void {
  const { host, writer, waiting, calls } = state;
  const silentMs = writer.stalledMs();
  if (silentMs <= STORE_DOWN_AFTER_MS) return;
  for (const number of [...state.reads]) {
    calls.get(number)?.({ kind: "storeDown", silentMs });
    calls.delete(number);
  }
  for (const { job, calls: numbers } of state.uncommitted.withdrawAll()) {
    emit(state, { kind: "withdrawn", job });
    const prefix = `${job}.`;
    const kept = waiting.splice(0).filter((command) => {
      if (command.kind === "answer") return !numbers.includes(command.call);
      return command.kind !== "order" ||
        !command.order.task.startsWith(prefix);
    });
    waiting.push(...kept);
    host.logger.info("Took a job back: the store does not answer.", {
      job,
      silentMs: Math.round(silentMs),
    });
    for (const number of numbers) {
      calls.get(number)?.({ kind: "storeDown", silentMs });
      calls.delete(number);
    }
  }
}
