import type { TimeLineEvent } from "../model/mod.ts";

/** Who records a time line, and how much of it is kept. */
export type TimeLineSettings = {
  /** Instance id or worker id. */
  process: string;
  incarnation: string;
  /** How many events are kept; the oldest are dropped first. */
  capacity: number;
};

/** The latest events of one process, with its Lamport clock. */
export type TimeLine = TimeLineSettings & {
  /** The Lamport clock: the number of the latest event seen or recorded. */
  lamport: number;
  /** A ring buffer; the oldest event is at {@linkcode oldest}. */
  events: TimeLineEvent[];
  oldest: number;
};

/** An event to be recorded; the time line numbers it. */
export type NewTimeLineEvent = {
  /** Wall clock, in milliseconds since the epoch; for display only. */
  atMs: number;
  /** Family and name, joined by a dot, such as `task.started`. */
  name: string;
  subject?: string | undefined;
  detail?: string | undefined;
};

/** Part of a time line. */
export type TimeLineBatch = {
  events: TimeLineEvent[];
  /** The Lamport clock; ask for the events after it next. */
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
  return { ...settings, lamport: 0, events: [], oldest: 0 };
}

/**
 * Records an event under the next number of the Lamport clock.
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
 * Moves the Lamport clock on to what a received message carried, so that
 * every event recorded from now on is ordered after the message's sending.
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
 * Lists the kept events with a number above the given one, oldest first.
 *
 * @example
 * ```ts
 * const { events, last } = eventsAfter(timeLine, 0);
 * const later = eventsAfter(timeLine, last);
 * ```
 */
export function eventsAfter(timeLine: TimeLine, after: number): TimeLineBatch {
  const ordered = [
    ...timeLine.events.slice(timeLine.oldest),
    ...timeLine.events.slice(0, timeLine.oldest),
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
  timeLine.events[timeLine.oldest] = event;
  timeLine.oldest = (timeLine.oldest + 1) % timeLine.capacity;
}
