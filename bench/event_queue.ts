/**
 * A binary heap of things that happen in virtual time.
 *
 * @module
 */

/** Something that happens at a virtual time. */
export type Timed<T> = { atMs: number; order: number; what: T };

/** What is still to happen, earliest first; ties in order of entry. */
export type EventQueue<T> = { heap: Timed<T>[]; nextOrder: number };

/** Creates an empty queue. */
export function createEventQueue<T>(): EventQueue<T> {
  return { heap: [], nextOrder: 0 };
}

/** Adds something that happens later. */
export function schedule<T>(
  queue: EventQueue<T>,
  atMs: number,
  what: T,
): void {
  const { heap } = queue;
  const added = { atMs, order: queue.nextOrder++, what };
  let at = heap.length;
  heap.push(added);
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (isBefore(heap[parent]!, added)) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = added;
}

/** Takes out what happens next. */
export function takeNext<T>(queue: EventQueue<T>): Timed<T> | undefined {
  const { heap } = queue;
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined) return undefined;
  if (heap.length > 0) sinkFromTop(heap, last);
  return first;
}

function sinkFromTop<T>(heap: Timed<T>[], moved: Timed<T>): void {
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right !== undefined && isBefore(right, heap[child]!)) child += 1;
    if (isBefore(moved, heap[child]!)) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = moved;
}

function isBefore<T>(a: Timed<T>, b: Timed<T>): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
