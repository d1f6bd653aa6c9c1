import { readFileSync } from "node:fs";

/** Ticks of the processor clock in a second, as `/proc` counts them. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1_024;
/** Position of the user time after the name in `/proc/PID/stat`. */
const USER_TIME_FIELD = 11;

/** What a process has used so far. */
export type ProcessUsage = {
  /** Processor time, in seconds. */
  cpuSeconds: number;
  /** Resident memory, in MiB. */
  residentMb: number;
};

/** Reads what a process has used so far; undefined where it has ended. */
export function readProcessUsage(
  pid: number | undefined,
): ProcessUsage | undefined {
  if (pid === undefined) return undefined;
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const user = Number(fields[USER_TIME_FIELD]);
    const system = Number(fields[USER_TIME_FIELD + 1]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return {
      cpuSeconds: (user + system) / TICKS_PER_SECOND,
      residentMb: resident / KIB_PER_MIB,
    };
  } catch {
    return undefined;
  }
}
