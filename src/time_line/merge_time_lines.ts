import { compareStrings } from "../base/mod.ts";
import type { TimeLineEvent } from "../model/mod.ts";

/**
 * Merges the events of several processes in causal order: by Lamport timestamp,
 * then by process. Duplicates of an event are removed.
 *
 * @example
 * ```ts
 * const events = mergeTimeLines([ofKigali.events, ofHuye.events]);
 * ```
 */
export function mergeTimeLines(lists: TimeLineEvent[][]): TimeLineEvent[] {
  const merged = new Map<string, TimeLineEvent>();
  for (const event of lists.flat()) merged.set(eventKey(event), event);
  return [...merged.values()].sort(compareEvents);
}

function eventKey(event: TimeLineEvent): string {
  return `${event.process}\0${event.incarnation}\0${event.lamport}`;
}

function compareEvents(left: TimeLineEvent, right: TimeLineEvent): number {
  return left.lamport - right.lamport ||
    compareStrings(left.process, right.process) ||
    compareStrings(left.incarnation, right.incarnation);
}
