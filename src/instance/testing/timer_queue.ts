/** Something that happens at a time. */
type Timer = { atMs: number; number: number; run: () => void };

/** Timers in the order of their times; equal times keep their order. */
export type TimerQueue = { heap: Timer[]; nextNumber: number };

/** Creates an empty queue. */
export function createTimerQueue(): TimerQueue {
  return { heap: [], nextNumber: 0 };
}

/** Adds a timer. */
export function pushTimer(
  queue: TimerQueue,
  atMs: number,
  run: () => void,
): void {
  const { heap } = queue;
  heap.push({ atMs, number: queue.nextNumber++, run });
  let index = heap.length - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index]!, heap[parent]!)) return;
    swap(heap, index, parent);
    index = parent;
  }
}

/** Takes the earliest timer that is due by a time. */
export function popTimer(queue: TimerQueue, byMs: number): Timer | undefined {
  const { heap } = queue;
  const first = heap[0];
  if (first === undefined || first.atMs > byMs) return undefined;
  const last = heap.pop()!;
  if (heap.length > 0) {
    heap[0] = last;
    sink(heap);
  }
  return first;
}

function sink(heap: Timer[]): void {
  let index = 0;
  while (true) {
    let least = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child >= heap.length) continue;
      if (isBefore(heap[child]!, heap[least]!)) least = child;
    }
    if (least === index) return;
    swap(heap, index, least);
    index = least;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  if (left.atMs !== right.atMs) return left.atMs < right.atMs;
  return left.number < right.number;
}

function swap(heap: Timer[], left: number, right: number): void {
  [heap[left], heap[right]] = [heap[right]!, heap[left]!];
}
