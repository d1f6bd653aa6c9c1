/**
 * Reads what the kernel tells of a process (Linux).
 *
 * @module
 */
import { readFileSync } from "node:fs";

const BYTES_PER_KIB = 1_024;
const MS_PER_TICK = 10;
/** Fields after the name of the process in `/proc/PID/stat`. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** The memory and the processor time of a process. */
export type ProcessStatus = {
  /** Resident memory, in bytes. */
  residentBytes: number;
  /** The part of it that belongs to no file, in bytes. */
  privateBytes: number;
  /** Processor time used since the start, in milliseconds. */
  processorMs: number;
  /** Bytes read and written by system calls; nearly all on sockets. */
  transferredBytes: number;
  /** Number of those system calls; about one for each message. */
  transfers: number;
};

/**
 * Reads the status of a process.
 *
 * @param pid id of a process that still runs
 */
export function readProcessStatus(pid: number): ProcessStatus {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) +
    Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    residentBytes: readKib(status, "VmRSS"),
    privateBytes: readKib(status, "RssAnon"),
    processorMs: ticks * MS_PER_TICK,
    transferredBytes: readCount(io, "rchar") + readCount(io, "wchar"),
    transfers: readCount(io, "syscr") + readCount(io, "syscw"),
  };
}

function readKib(status: string, name: string): number {
  const [, kib] = new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(status) ?? [];
  return Number(kib ?? Number.NaN) * BYTES_PER_KIB;
}

function readCount(io: string, name: string): number {
  const [, count] = new RegExp(`^${name}: (\\d+)$`, "m").exec(io) ?? [];
  return Number(count ?? Number.NaN);
}
