import type { TimeLineEvent } from "../model/mod.ts";

/** The process that records a time line, and the capacity of its buffer. */
export type TimeLineSettings = {
  /** Instance id or worker id. */
  process: string;
  incarnation: string;
  /** Maximum number of events kept; the oldest are evicted first. */
  capacity: number;
};

/** The latest events of one process, with its Lamport clock. */
export type TimeLine = TimeLineSettings & {
  /** The Lamport clock: the greatest timestamp recorded or observed so far. */
  lamport: number;
  /** Ring buffer; once full, its oldest event is at {@linkcode oldestIndex}. */
  events: TimeLineEvent[];
  oldestIndex: number;
};

/** An event to record; {@linkcode recordEvent} adds its Lamport timestamp. */
export type NewTimeLineEvent = {
  /** Wall clock, in milliseconds since the epoch; for display only. */
  atMs: number;
  /** Family and name, joined by a dot, such as `task.started`. */
  name: string;
  subject?: string | undefined;
  detail?: string | undefined;
};

/** Events read from a time line. */
export type TimeLineBatch = {
  events: TimeLineEvent[];
  /** Value of the Lamport clock; the next read continues after it. */
  last: number;
};

/**
 * Creates an empty time line.
 *
 * @example
 * ```ts
 * const timeLine = createTimeLine({
 *   process: "kigali-1",
 *   incarnation: "m3x9",
 *   capacity: 2_000,
 * });
 * ```
 */
export function createTimeLine(settings: TimeLineSettings): TimeLine {
  return { ...settings, lamport: 0, events: [], oldestIndex: 0 };
}

/**
 * Records an event with the next value of the Lamport clock.
 *
 * @example
 * ```ts
 * recordEvent(timeLine, { atMs: clock.nowMs(), name: "task.started", subject });
 * ```
 *
 * @returns the event as recorded; send its `lamport` with every message
 */
export function recordEvent(
  timeLine: TimeLine,
  event: NewTimeLineEvent,
): TimeLineEvent {
  timeLine.lamport += 1;
  const { subject, detail } = event;
  const recorded: TimeLineEvent = {
    process: timeLine.process,
    incarnation: timeLine.incarnation,
    lamport: timeLine.lamport,
    atMs: event.atMs,
    name: event.name,
    ...(subject === undefined ? {} : { subject }),
    ...(detail === undefined ? {} : { detail }),
  };
  appendToBuffer(timeLine, recorded);
  return recorded;
}

/**
 * Advances the Lamport clock to the timestamp of a received message, so that
 * events recorded from now on are ordered after its sending. Values that are
 * not safe integers are ignored.
 *
 * @example
 * ```ts
 * observeLamport(timeLine, message.lamport);
 * ```
 */
export function observeLamport(timeLine: TimeLine, lamport: number): void {
  if (!Number.isSafeInteger(lamport)) return;
  timeLine.lamport = Math.max(timeLine.lamport, lamport);
}

/**
 * Lists the kept events whose Lamport timestamp is greater than `after`, oldest
 * first.
 *
 * @example
 * ```ts
 * const { events, last } = eventsAfter(timeLine, 0);
 * const later = eventsAfter(timeLine, last);
 * ```
 */
export function eventsAfter(timeLine: TimeLine, after: number): TimeLineBatch {
  const ordered = [
    ...timeLine.events.slice(timeLine.oldestIndex),
    ...timeLine.events.slice(0, timeLine.oldestIndex),
  ];
  return {
    events: ordered.filter((event) => event.lamport > after),
    last: timeLine.lamport,
  };
}

function appendToBuffer(timeLine: TimeLine, event: TimeLineEvent): void {
  if (timeLine.events.length < timeLine.capacity) {
    timeLine.events.push(event);
    return;
  }
  timeLine.events[timeLine.oldestIndex] = event;
  timeLine.oldestIndex = (timeLine.oldestIndex + 1) % timeLine.capacity;
}
