import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { Writable } from "node:stream";
import { joinIntoPortions } from "./write_portions.ts";

/** Interval at which buffered text is written, in milliseconds. */
const FLUSH_INTERVAL_MS = 200;
/** Maximum amount of text that is buffered for a slow reader, in bytes. */
const MAX_BUFFERED_BYTES = 262_144;

type State = {
  descriptor: number;
  chunks: string[];
  bufferedBytes: number;
  droppedEntries: number;
  isWriting: boolean;
  flushTimer: NodeJS.Timeout | undefined;
};

/**
 * Creates a stream to a file descriptor that never blocks the event loop and
 * never applies backpressure: entries that exceed the buffer are dropped and
 * their number is logged.
 *
 * @example
 * ```ts
 * const logger = createLogger({ ...settings, stream: createBoundedStream(1) });
 * ```
 */
export function createBoundedStream(descriptor: number): Writable {
  const state: State = {
    descriptor,
    chunks: [],
    bufferedBytes: 0,
    droppedEntries: 0,
    isWriting: false,
    flushTimer: undefined,
  };
  return new Writable({
    decodeStrings: false,
    write(chunk, _encoding, callback) {
      enqueue(state, String(chunk));
      callback();
    },
    final(callback) {
      clearTimeout(state.flushTimer);
      flush(state, () => callback());
    },
  });
}

function enqueue(state: State, text: string): void {
  const bytes = Buffer.byteLength(text);
  if (state.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
    state.droppedEntries += 1;
    return;
  }
  state.chunks.push(text);
  state.bufferedBytes += bytes;
  if (state.flushTimer !== undefined || state.isWriting) return;
  state.flushTimer = setTimeout(
    () => flush(state, () => {}),
    FLUSH_INTERVAL_MS,
  );
  // A pending flush must not keep the process alive.
  state.flushTimer.unref();
}

function flush(state: State, callback: () => void): void {
  state.flushTimer = undefined;
  if (state.chunks.length === 0 || state.isWriting) return callback();
  if (state.droppedEntries > 0) {
    state.chunks.push(
      `{"level":"warn","part":"daemon","message":` +
        `"Dropped log entries.","entries":${state.droppedEntries}}\n`,
    );
    state.droppedEntries = 0;
  }
  const portions = joinIntoPortions(state.chunks.splice(0));
  state.bufferedBytes = 0;
  state.isWriting = true;
  const writeNext = () => {
    const portion = portions.next();
    if (!portion.done) {
      return writeAll(state.descriptor, portion.value, writeNext);
    }
    state.isWriting = false;
    callback();
    if (state.chunks.length > 0) flush(state, () => {});
  };
  writeNext();
}

function writeAll(
  descriptor: number,
  text: Buffer,
  callback: () => void,
): void {
  write(descriptor, text, (error, written) => {
    // A closed or failing descriptor must not stop the process.
    if (error !== null && error.code !== "EAGAIN") return callback();
    const remaining = text.subarray(error === null ? written : 0);
    if (remaining.length === 0) return callback();
    setTimeout(
      () => writeAll(descriptor, remaining, callback),
      FLUSH_INTERVAL_MS,
    )
      .unref();
  });
}
