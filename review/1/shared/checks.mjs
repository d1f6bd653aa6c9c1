// The rules that the cases check, on what the workers have reported.

/**
 * TWICE: starts of a task after a run of it has ended `done`, where that end was
 * taken note of then or later.
 */
export function startsAfterDone(events) {
  const isTakenNoteOf = ({ worker, born, number }) =>
    events.some((event) =>
      event.event === "taken note of" && event.worker === worker &&
      event.born === born && event.upTo >= number
    );
  const done = new Map();
  const found = [];
  for (const event of events) {
    if (event.event === "end" && event.how === "done") {
      if (!done.has(event.task)) done.set(event.task, event);
    }
    if (event.event !== "start" || !done.has(event.task)) continue;
    found.push({ start: event, done: done.get(event.task) });
  }
  return found.filter(({ done }) => isTakenNoteOf(done));
}

/** TWICE: starts of a task while another run of it is going on. */
export function startsBesideRun(events) {
  const going = new Map();
  const found = [];
  for (const event of events) {
    const { task } = event;
    if (event.event === "start") {
      if (going.has(task)) found.push({ start: event, other: going.get(task) });
      going.set(task, event);
    }
    const isEnd = event.event === "end" &&
      going.get(task)?.worker === event.worker &&
      going.get(task)?.attempt === event.attempt;
    if (isEnd) going.delete(task);
  }
  return found;
}
