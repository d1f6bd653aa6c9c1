import { setTimeout as delay } from "node:timers/promises";
import type { BenchCluster } from "./bench_cluster.ts";
import { readProcessStatus } from "./process_status.ts";

const MS_PER_S = 1_000;
const BYTES_PER_MIB = 1_048_576;

/** What one entry instance and the log spent, as means over a time. */
export type Sample = {
  /** Processor time in milliseconds for each second. */
  processorMsPerS: number;
  /** Bytes read and written for each second. */
  bytesPerS: number;
  /** System calls that read or wrote, for each second. */
  transfersPerS: number;
  /** Resident memory at the end, in MiB. */
  residentMib: number;
  /** Calls that appended to the log, for each second, of all instances. */
  appendsPerS: number;
  /** Entries appended to the log for each second, of all instances. */
  entriesPerS: number;
};

type LogCount = { appends: number; entries: number };

/**
 * Measures the first instance of a cluster while something runs.
 *
 * @param work what runs meanwhile
 */
export async function sampleWhile(
  cluster: BenchCluster,
  work: () => Promise<unknown>,
): Promise<Sample> {
  const instance = cluster.instances[0]!;
  const before = readProcessStatus(instance.pid);
  const logBefore = await countLog(cluster);
  const startedMs = performance.now();
  await work();
  const seconds = (performance.now() - startedMs) / MS_PER_S;
  const after = readProcessStatus(instance.pid);
  const logAfter = await countLog(cluster);
  const rate = (from: number, to: number) => (to - from) / seconds;
  return {
    processorMsPerS: rate(before.processorMs, after.processorMs),
    bytesPerS: rate(before.transferredBytes, after.transferredBytes),
    transfersPerS: rate(before.transfers, after.transfers),
    residentMib: after.residentBytes / BYTES_PER_MIB,
    appendsPerS: rate(logBefore.appends, logAfter.appends),
    entriesPerS: rate(logBefore.entries, logAfter.entries),
  };
}

/** Measures an idle cluster. */
export function sampleIdle(
  cluster: BenchCluster,
  durationMs: number,
): Promise<Sample> {
  return sampleWhile(cluster, () => delay(durationMs));
}

async function countLog(cluster: BenchCluster): Promise<LogCount> {
  const reply = await cluster.api.call("GET", `${cluster.logUrl}/audit`);
  if (reply.kind === "failed") throw new Error(reply.cause);
  const audit = reply.body as { appends: number; page: { nextOffset: number } };
  return { appends: audit.appends, entries: audit.page.nextOffset };
}
