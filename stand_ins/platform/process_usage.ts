import { readdirSync, readFileSync } from "node:fs";

const KIBIBYTES_PER_MEBIBYTE = 1_024;

/** What a process takes of its machine. */
export type ProcessUsage = {
  /** The largest resident set since the start of the process, in MiB. */
  peakMemoryMb: number;
  /** Open descriptors. */
  descriptors: number;
};

/** Reads what a process takes; undefined if it has ended. */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const peak = /^VmHWM:\s+(\d+) kB$/m.exec(status);
    if (peak === null) return undefined;
    return {
      peakMemoryMb: Number(peak[1]) / KIBIBYTES_PER_MEBIBYTE,
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return undefined;
  }
}
