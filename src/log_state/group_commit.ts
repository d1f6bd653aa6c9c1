import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type { Clock, Fault, LogHost } from "../hosts/mod.ts";
import type { LogRecord } from "./log_record.ts";
import { storeRecord } from "./stored_record.ts";

/** Least time between the starts of two appends, in milliseconds. */
export const MIN_APPEND_GAP_MS = 125;
/** The most records that one append carries. */
export const MAX_BATCH_RECORDS = 256;
/** Longest wait before an append is tried again, in milliseconds. */
export const MAX_RETRY_DELAY_MS = 4_000;

/** What a group commit needs. */
export type GroupCommitHost = {
  log: LogHost;
  clock: Clock;
  /** Ends the commit; records that wait then fail. */
  signal: AbortSignal;
};

/** Batches the appends of one process. */
export type GroupCommit = {
  /**
   * Appends a record and resolves once the log has it. An append whose answer
   * was lost is repeated, since every record may repeat; the offset is that
   * of the repeat then.
   *
   * @param signal gives up waiting; the fault tells whether the record was
   *   never sent (`unsent`) or may have been appended (`unknown`)
   */
  append(
    record: LogRecord,
    signal: AbortSignal,
  ): Promise<Result<number, Fault>>;
  /** How many records wait for the log. */
  waiting(): number;
  /** How many appends in a row have failed. */
  failedAppends(): number;
};

type Waiter = {
  record: LogRecord;
  /** Whether an append may have taken effect, or is in flight. */
  mayBeAppended: boolean;
  settle(result: Result<number, Fault>): void;
};

type CommitState = {
  waiters: Set<Waiter>;
  isRunning: boolean;
  /** When the last append started, on the steady clock. */
  startedMs: number;
  batchLimit: number;
  failures: number;
};

/**
 * Creates a group commit: one append is in flight at a time, and what arrives
 * meanwhile leaves together in the next one. An idle commit appends at once.
 *
 * @example
 * ```ts
 * const commit = createGroupCommit({ log, clock, signal });
 * const offset = await commit.append(record, AbortSignal.timeout(2_000));
 * ```
 */
export function createGroupCommit(host: GroupCommitHost): GroupCommit {
  const state: CommitState = {
    waiters: new Set(),
    isRunning: false,
    startedMs: Number.NEGATIVE_INFINITY,
    batchLimit: MAX_BATCH_RECORDS,
    failures: 0,
  };
  return {
    append: (record, signal) => appendRecord(host, state, record, signal),
    waiting: () => state.waiters.size,
    failedAppends: () => state.failures,
  };
}

function appendRecord(
  host: GroupCommitHost,
  state: CommitState,
  record: LogRecord,
  signal: AbortSignal,
): Promise<Result<number, Fault>> {
  return new Promise((resolve) => {
    const waiter: Waiter = {
      record,
      mayBeAppended: false,
      settle(result) {
        state.waiters.delete(waiter);
        signal.removeEventListener("abort", giveUp);
        resolve(result);
      },
    };
    const giveUp = () => waiter.settle(err(abandonedFault(waiter)));
    if (signal.aborted || host.signal.aborted) return giveUp();
    // One signal may end any number of waiting records.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", giveUp, { once: true });
    state.waiters.add(waiter);
    if (!state.isRunning) run(host, state);
  });
}

async function run(host: GroupCommitHost, state: CommitState): Promise<void> {
  state.isRunning = true;
  while (state.waiters.size > 0 && !host.signal.aborted) {
    await host.clock.sleep(delayMs(host, state), host.signal);
    if (host.signal.aborted) break;
    await appendBatch(host, state);
  }
  state.isRunning = false;
  if (!host.signal.aborted) return;
  for (const waiter of state.waiters) {
    waiter.settle(err(abandonedFault(waiter)));
  }
}

/** The gap between appends grows while they fail. */
function delayMs(host: GroupCommitHost, state: CommitState): number {
  const gapMs = Math.min(
    MIN_APPEND_GAP_MS * 2 ** state.failures,
    MAX_RETRY_DELAY_MS,
  );
  const passedMs = host.clock.steadyMs() - state.startedMs;
  return Math.max(0, gapMs - passedMs);
}

async function appendBatch(
  host: GroupCommitHost,
  state: CommitState,
): Promise<void> {
  const batch = [...state.waiters].slice(0, state.batchLimit);
  if (batch.length === 0) return;
  state.startedMs = host.clock.steadyMs();
  const unsent = batch.filter((waiter) => !waiter.mayBeAppended);
  for (const waiter of unsent) waiter.mayBeAppended = true;
  const records = batch.map((waiter) => storeRecord(waiter.record));
  const result = await host.log.append(records, host.signal);
  if (result.isOk()) return settleBatch(state, batch, result.value);
  state.failures += 1;
  if (result.error.kind === "unknown") return;
  for (const waiter of unsent) waiter.mayBeAppended = false;
  if (result.error.kind === "refused") refuseBatch(state, batch, result.error);
}

function settleBatch(
  state: CommitState,
  batch: Waiter[],
  firstOffset: number,
): void {
  state.failures = 0;
  state.batchLimit = Math.min(state.batchLimit * 2, MAX_BATCH_RECORDS);
  batch.forEach((waiter, index) => waiter.settle(ok(firstOffset + index)));
}

/** Halves the batch until the record that the log refuses stands alone. */
function refuseBatch(
  state: CommitState,
  batch: Waiter[],
  fault: Fault,
): void {
  const [only, ...others] = batch;
  if (only === undefined) return;
  if (others.length > 0) {
    state.batchLimit = Math.max(1, Math.floor(batch.length / 2));
    return;
  }
  if (only.mayBeAppended) only.settle(err({ ...fault, kind: "unknown" }));
  else only.settle(err(fault));
}

function abandonedFault(waiter: Waiter): Fault {
  const row = diagnostics.appendAbandoned;
  return {
    kind: waiter.mayBeAppended ? "unknown" : "unsent",
    code: row.code,
    step: "log.append",
    peer: "log",
    message: formatDiagnostic(row, waiter.record.kind),
  };
}
