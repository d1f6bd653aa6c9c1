import type { Result } from "neverthrow";
import type { Fault } from "./fault.ts";

/** One entry of the log. */
export type LogEntry = {
  offset: number;
  /** When the log service appended the entry, in ms since the epoch. */
  atMs: number;
  data: unknown;
};

/** A stretch of the log. */
export type LogPage = {
  entries: LogEntry[];
  /** Offset of the oldest entry that the log still keeps. */
  firstOffset: number;
  /** Offset that the next appended entry will get. */
  nextOffset: number;
};

/** The platform's append-only log. */
export type LogHost = {
  /** Appends entries in one call and returns the offset of the first. */
  append(
    data: unknown[],
    signal: AbortSignal,
  ): Promise<Result<number, Fault>>;
  /**
   * Reads from an offset.
   *
   * @param waitMs how long the log may wait for an entry, in milliseconds
   */
  read(
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, Fault>>;
};
