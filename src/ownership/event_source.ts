import { type Scheduler, type Sink, Stream } from "most";

/** A stream of events that are emitted one by one. */
export type EventSource<Event> = {
  stream: Stream<Event>;
  /** Delivers an event to the observer, or buffers it until there is one. */
  emit(event: Event): void;
};

/**
 * Creates a stream for one observer. `most` starts to observe a stream only
 * some time after the call of `observe`, so earlier events are buffered.
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
