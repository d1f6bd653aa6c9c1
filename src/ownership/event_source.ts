import { type Scheduler, type Sink, Stream } from "most";

/** A stream into which events are put one by one. */
export type EventSource<Event> = {
  stream: Stream<Event>;
  /** Hands an event to the observer, or keeps it until there is one. */
  emit(event: Event): void;
};

/**
 * Creates a stream for one observer. A stream of `most` is observed some time
 * after the call that asks for it; what is emitted before is not lost.
 *
 * @example
 * ```ts
 * const source = createEventSource<DomainEvent>();
 * source.stream.observe(handle);
 * source.emit({ kind: "ticked" });
 * ```
 */
export function createEventSource<Event>(): EventSource<Event> {
  let bufferedEvents: Event[] = [];
  let deliver = (event: Event): void => {
    bufferedEvents.push(event);
  };
  const source = {
    run(sink: Sink<Event>, scheduler: Scheduler) {
      deliver = (event) => sink.event(scheduler.now(), event);
      for (const event of bufferedEvents) deliver(event);
      bufferedEvents = [];
      return { dispose() {} };
    },
  };
  return { stream: new Stream(source), emit: (event) => deliver(event) };
}
