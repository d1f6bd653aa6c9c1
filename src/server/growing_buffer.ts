import { Buffer } from "node:buffer";

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1_024;
/** Smaller buffers are left to the garbage collector. */
const MIN_POOLED_BYTES = 32_768;

/**
 * Bytes that arrive in pieces. They are copied into one buffer, since each
 * piece that is kept costs an object and keeps all that was read with it.
 */
export type GrowingBuffer = {
  /** Number of bytes that were appended. */
  length: number;
  /** Its capacity is the memory that it takes. */
  buffer: Buffer;
};

/**
 * Creates an empty buffer, which takes no memory yet.
 *
 * @example
 * ```ts
 * const body = createGrowingBuffer();
 * appendBytes(body, chunk);
 * writtenBytes(body).toString("utf8");
 * ```
 */
export function createGrowingBuffer(): GrowingBuffer {
  return { length: 0, buffer: EMPTY };
}

/**
 * Buffers that can be used again. The garbage collector frees large buffers
 * late: it does not run for tens of megabytes outside of its heap.
 */
export type BufferPool = {
  /** Buffers by their capacity, a power of two. */
  free: Map<number, Buffer[]>;
  freeBytes: number;
  readonly maxFreeBytes: number;
};

/** Creates an empty pool. */
export function createBufferPool(maxFreeBytes: number): BufferPool {
  return { free: new Map(), freeBytes: 0, maxFreeBytes };
}

/** Copies a piece to the end; doubles the capacity if there is no room. */
export function appendBytes(
  target: GrowingBuffer,
  piece: Buffer,
  pool?: BufferPool,
): void {
  const length = target.length + piece.length;
  if (length > target.buffer.length) {
    let capacity = Math.max(target.buffer.length, MIN_CAPACITY_BYTES);
    while (capacity < length) capacity *= 2;
    // A pooled buffer of Node.js would keep its whole slab.
    const larger = takeBuffer(pool, capacity) ??
      Buffer.allocUnsafeSlow(capacity);
    target.buffer.copy(larger, 0, 0, target.length);
    if (pool !== undefined) returnBuffer(pool, target.buffer);
    target.buffer = larger;
  }
  piece.copy(target.buffer, target.length);
  target.length = length;
}

/** Returns the bytes that were appended, without copying them. */
export function writtenBytes({ buffer, length }: GrowingBuffer): Buffer {
  return buffer.subarray(0, length);
}

/** Makes the memory of a buffer available for others; the buffer is empty. */
export function recycleBytes(target: GrowingBuffer, pool: BufferPool): void {
  returnBuffer(pool, target.buffer);
  target.buffer = EMPTY;
  target.length = 0;
}

function takeBuffer(
  pool: BufferPool | undefined,
  capacity: number,
): Buffer | undefined {
  const buffer = pool?.free.get(capacity)?.pop();
  if (buffer !== undefined) pool!.freeBytes -= capacity;
  return buffer;
}

function returnBuffer(pool: BufferPool, buffer: Buffer): void {
  const capacity = buffer.length;
  if (capacity < MIN_POOLED_BYTES) return;
  if (pool.freeBytes + capacity > pool.maxFreeBytes) return;
  const buffers = pool.free.get(capacity);
  if (buffers === undefined) pool.free.set(capacity, [buffer]);
  else buffers.push(buffer);
  pool.freeBytes += capacity;
}
