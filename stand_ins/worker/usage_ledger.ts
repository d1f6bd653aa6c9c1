import type { Resources, Task, Usage } from "../../src/model/mod.ts";

const HOUR_MS = 3_600_000;

/** Cumulative usage per token, hour, customer and agreement. */
export type UsageLedger = {
  worker: string;
  rows: Map<string, Usage>;
};

/** Builds an empty ledger. */
export function createUsageLedger(worker: string): UsageLedger {
  return { worker, rows: new Map() };
}

/**
 * Adds what a task used from one time to another.
 *
 * @param fromMs start of the stretch, in milliseconds since the epoch
 * @param toMs end of the stretch, in milliseconds since the epoch
 * @returns the keys of the rows that grew
 */
export function accrueUsage(
  ledger: UsageLedger,
  token: number,
  task: Task,
  used: Resources,
  fromMs: number,
  toMs: number,
): string[] {
  const keys: string[] = [];
  let atMs = fromMs;
  while (atMs < toMs) {
    const hourMs = atMs - atMs % HOUR_MS;
    const untilMs = Math.min(toMs, hourMs + HOUR_MS);
    keys.push(addStretch(ledger, token, task, used, hourMs, untilMs - atMs));
    atMs = untilMs;
  }
  return keys;
}

function addStretch(
  ledger: UsageLedger,
  token: number,
  task: Task,
  used: Resources,
  hourMs: number,
  lengthMs: number,
): string {
  const { customer, agreement } = task;
  const key = [token, hourMs, customer, agreement].join("/");
  const row = ledger.rows.get(key) ?? {
    worker: ledger.worker,
    token,
    hourMs,
    customer,
    agreement,
    cpuMillisMs: 0,
    memoryMbMs: 0,
    acceleratorMs: 0,
  };
  row.cpuMillisMs += used.cpuMillis * lengthMs;
  row.memoryMbMs += used.memoryMb * lengthMs;
  row.acceleratorMs += used.accelerators * lengthMs;
  ledger.rows.set(key, row);
  return key;
}
