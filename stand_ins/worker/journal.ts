/** Numbered changes, and those who wait for one. */
export type Journal = {
  lastEvent: number;
  /** Subjects in the order of their changes, with repeats. */
  entries: { event: number; subject: string }[];
  waiters: Set<() => void>;
};

/** Builds an empty journal. */
export function createJournal(): Journal {
  return { lastEvent: 0, entries: [], waiters: new Set() };
}

/** Numbers a change of a subject; it wakes nobody. */
export function noteChange(journal: Journal, subject: string): void {
  journal.lastEvent += 1;
  journal.entries.push({ event: journal.lastEvent, subject });
}

/** Lets everybody who waits look again. */
export function wakeWaiters(journal: Journal): void {
  for (const wake of [...journal.waiters]) wake();
}

/** Lists the subjects that changed after an event, each once. */
export function changedAfter(journal: Journal, event: number): Set<string> {
  const subjects = new Set<string>();
  for (let index = journal.entries.length - 1; index >= 0; index -= 1) {
    const entry = journal.entries[index]!;
    if (entry.event <= event) break;
    subjects.add(entry.subject);
  }
  return subjects;
}

/** Forgets the changes of subjects that are gone. */
export function forgetChanges(
  journal: Journal,
  isKept: (subject: string) => boolean,
): void {
  journal.entries = journal.entries.filter((entry) => isKept(entry.subject));
}
