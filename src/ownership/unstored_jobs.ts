import { assertNever } from "../base/mod.ts";
import {
  type DomainCommand,
  type DomainRecord,
  jobOfTask,
  recordGroupOf,
} from "../domain/mod.ts";

/**
 * The jobs of which the store rejects a record, and the commands that rely on
 * these records.
 */
export type UnstoredJobs = {
  /** Records which records of a commit are stored, and which are rejected. */
  settle(stored: DomainRecord[], rejected: DomainRecord[]): void;
  /**
   * Returns the commands that may be executed, in their order: those of earlier
   * commits whose jobs are stored now, and those of this commit. The others are
   * held until a later commit.
   */
  release(commands: DomainCommand[]): DomainCommand[];
  /** Whether a record is stored only by a commit of its own group. */
  isSeparate(key: string): boolean;
  /** Schedules another try of all records that the store lacks. */
  scheduleRetries(): void;
  /**
   * Returns the keys that the store lacks of the next group to be tried, and
   * that group; undefined if none is scheduled.
   */
  takeRetry(): { group: string; keys: string[] } | undefined;
};

/** What an owner knows of the calls and workers that commands concern. */
export type UnstoredJobsHost = {
  /** The job that a pending call changes, if it changes one. */
  jobOfCall(call: number): string | undefined;
  /** The names of the tasks whose ends a worker listed last. */
  endsListedBy(worker: string): string[];
};

/**
 * Creates the state of an owner whose records are all stored.
 *
 * A start that relies on a record which the store lacks could run twice after a
 * takeover, and an acknowledged end could be lost, so such commands are held.
 * Those of other jobs are not, apart from acknowledgements to workers that have
 * run tasks of the job, since an acknowledgement covers all ends before it.
 *
 * @example
 * ```ts
 * const unstored = createUnstoredJobs(host);
 * unstored.settle(stored, rejected);
 * execute(unstored.release(commands));
 * ```
 */
export function createUnstoredJobs(host: UnstoredJobsHost): UnstoredJobs {
  const missing = new Set<string>();
  const scheduled = new Set<string>();
  let held: DomainCommand[] = [];
  return {
    settle(stored, rejected) {
      for (const { key } of rejected) missing.add(key);
      if (missing.size === 0) return;
      for (const { key } of stored) missing.delete(key);
      const groups = groupsOf(rejected.map(({ key }) => key));
      // Of several groups, most may only have been near the one at fault.
      if (groups.size + stored.length <= 1) return;
      for (const group of groups) scheduled.add(group);
    },
    isSeparate: (key) =>
      missing.size > 0 && groupsOf(missing).has(recordGroupOf(key)),
    scheduleRetries() {
      for (const group of groupsOf(missing)) scheduled.add(group);
    },
    takeRetry() {
      const [group] = scheduled;
      if (group === undefined) return undefined;
      scheduled.delete(group);
      const keys = [...missing].filter((key) => recordGroupOf(key) === group);
      return { group, keys };
    },
    release(commands) {
      if (held.length + missing.size === 0) return commands;
      const jobs = groupsOf(missing);
      const heldWorkers = new Set<string>();
      const candidates = [...held, ...commands];
      held = [];
      return candidates.filter((command) => {
        const isAcknowledgement = command.kind === "acknowledge";
        const isReady = jobsOf(host, command).every((job) => !jobs.has(job)) &&
          !(isAcknowledgement && heldWorkers.has(command.worker));
        if (isReady) return true;
        if (isAcknowledgement) heldWorkers.add(command.worker);
        held.push(command);
        return false;
      });
    },
  };
}

/** The jobs on whose records a command relies. */
function jobsOf(host: UnstoredJobsHost, command: DomainCommand): string[] {
  switch (command.kind) {
    case "order":
      return listIfKnown(jobOfTask(command.order.task));
    case "answer":
      return listIfKnown(host.jobOfCall(command.call));
    case "acknowledge":
      return host.endsListedBy(command.worker).flatMap((task) =>
        listIfKnown(jobOfTask(task))
      );
    case "report":
    case "count":
    case "countExcess":
      return [];
    default:
      return assertNever(command);
  }
}

function groupsOf(keys: Iterable<string>): Set<string> {
  return new Set([...keys].map(recordGroupOf));
}

function listIfKnown(job: string | undefined): string[] {
  return job === undefined ? [] : [job];
}
