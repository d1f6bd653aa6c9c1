import type { DomainCommand } from "../domain/mod.ts";
import { STORE_DOWN_AFTER_MS } from "./owner_calls.ts";
import { emit, type OwnerState } from "./owner_state.ts";

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
    // Its submissions wait for the store, as the change does.
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
