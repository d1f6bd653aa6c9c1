import type { CurrentLease } from "../../src/hosts/mod.ts";
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  type Task,
  type WorkerCapacity,
} from "../../src/model/mod.ts";

/** One stretch of time in which a worker ran a task. */
export type AuditedRun = {
  taskId: string;
  attempt: number;
  idempotent: boolean;
  /** Whether the run went on from a checkpoint of the same attempt. */
  resumed: boolean;
  token: number;
  holder: string;
  startedAtMs: number;
  endedAtMs?: number;
  /** The state that ended the run. */
  ended?: string;
};

/** An output that a task returned. */
export type AuditedOutput = { taskId: string; output: unknown };

/** What a worker saw, counted apart from the code that admits tasks. */
export type WorkerAudit = {
  worker: string;
  /** Who holds the worker at present. */
  lease: CurrentLease;
  runs: AuditedRun[];
  outputs: AuditedOutput[];
  /** Task ids that started more than once without being idempotent. */
  twice: string[];
  /** How often a start led above the capacity. */
  overCapacity: number;
};

type OpenRun = { run: AuditedRun; used: Resources };

/** Records runs as they happen. */
export type Auditor = {
  opened(
    task: Task,
    lease: { token: number; holder: string },
    resumed: boolean,
  ): void;
  throttled(taskId: string, freed: Resources): void;
  closed(taskId: string, ended: string): void;
  finished(taskId: string, output: unknown): void;
  report(lease: CurrentLease): WorkerAudit;
};

/** Builds an auditor that knows the true capacity of its worker. */
export function createAuditor(
  worker: string,
  capacity: WorkerCapacity,
): Auditor {
  const runs: AuditedRun[] = [];
  const outputs: AuditedOutput[] = [];
  const open = new Map<string, OpenRun>();
  let overCapacity = 0;

  return {
    opened(task, lease, resumed) {
      const run: AuditedRun = {
        taskId: task.id,
        attempt: task.attempt,
        idempotent: task.idempotent,
        resumed,
        token: lease.token,
        holder: lease.holder,
        startedAtMs: Date.now(),
      };
      runs.push(run);
      open.set(task.id, { run, used: task.demand });
      if (!isWithin(open, capacity)) overCapacity += 1;
    },
    throttled(taskId, freed) {
      const entry = open.get(taskId);
      if (entry !== undefined) {
        entry.used = subtractResources(entry.used, freed);
      }
    },
    closed(taskId, ended) {
      const entry = open.get(taskId);
      if (entry === undefined) return;
      entry.run.endedAtMs = Date.now();
      entry.run.ended = ended;
      open.delete(taskId);
    },
    finished(taskId, output) {
      outputs.push({ taskId, output });
    },
    report: (lease) => ({
      worker,
      lease,
      runs,
      outputs,
      twice: startedTwice(runs),
      overCapacity,
    }),
  };
}

function isWithin(
  open: Map<string, OpenRun>,
  capacity: WorkerCapacity,
): boolean {
  const used = [...open.values()].map((entry) => entry.used);
  const sum = used.reduce(addResources, NO_RESOURCES);
  return open.size <= capacity.slots && fitsInto(sum, capacity.resources);
}

function startedTwice(runs: AuditedRun[]): string[] {
  const seen = new Set<string>();
  const twice = new Set<string>();
  for (const run of runs) {
    if (run.idempotent || run.resumed) continue;
    if (seen.has(run.taskId)) twice.add(run.taskId);
    seen.add(run.taskId);
  }
  return [...twice];
}
