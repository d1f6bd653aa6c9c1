import {
  addResources,
  fitsRemaining,
  NO_RESOURCES,
  type Resources,
} from "../model/mod.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { stepRecordKey } from "./record_keys.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import { isSuspect, type StepRun, taskNameOf } from "./step_run.ts";
import { allocationOf, placeTask } from "./task_placement.ts";

/** The decision to start a waiting task of a step on a worker. */
export type TaskPlacement = {
  index: number;
  worker: DomainWorker;
  attempt: number;
};

/**
 * Places tasks of a step on workers and emits the orders to start them. If one
 * of the workers lacks the capacity, none is started, and the step waits for the
 * next pass: whatever a placement was planned on, no start may bring a worker
 * over its capacity.
 *
 * @returns the placements as logged, `INDEX#ATTEMPT@WORKER`; undefined if none
 *   was started
 */
export function startTasks(
  pass: SchedulingPass,
  run: StepRun,
  placements: TaskPlacement[],
): string[] | undefined {
  const lacking = findLackingWorker(run, placements);
  if (lacking !== undefined) {
    reportLack(pass, run, lacking);
    return undefined;
  }
  return placements.map((placement) => startTask(pass, run, placement));
}

/** What tasks of a step need on a worker that does not have it. */
type Lack = { worker: DomainWorker; needed: Resources };

function findLackingWorker(
  run: StepRun,
  placements: TaskPlacement[],
): Lack | undefined {
  const demand = allocationOf(run.step);
  const neededByWorker = new Map<DomainWorker, Resources>();
  for (const { worker } of placements) {
    const known = neededByWorker.get(worker) ?? NO_RESOURCES;
    const needed = addResources(known, demand);
    if (!fitsRemaining(needed, worker.used, worker.capacity)) {
      return { worker, needed };
    }
    neededByWorker.set(worker, needed);
  }
  return undefined;
}

function reportLack(
  { domain }: SchedulingPass,
  run: StepRun,
  { worker, needed }: Lack,
): void {
  const { capacity, used } = worker;
  domain.commands.push({
    kind: "count",
    name: "starts_without_capacity",
    labels: {},
  });
  domain.commands.push({
    kind: "report",
    message: "A planned start finds too little capacity.",
    fields: {
      job: run.jobRun.job.id,
      step: run.key,
      worker: worker.id,
      needed: formatResources(needed),
      used: formatResources(used),
      capacity: formatResources(capacity),
    },
  });
}

function formatResources(
  { cpuMillis, memoryMb, accelerators }: Resources,
): string {
  return `${cpuMillis} cpu, ${memoryMb} MB, ${accelerators} accelerators`;
}

function startTask(
  { domain, moment, releases }: SchedulingPass,
  run: StepRun,
  { index, worker, attempt }: TaskPlacement,
): string {
  placeTask(run, index, worker, {
    attempt,
    nowMs: moment.steadyMs,
    phase: { kind: "starting" },
  });
  releases.delete(worker);
  const task = run.tasks[index];
  domain.dirtyKeys.add(stepRecordKey(run.key));
  domain.commands.push({
    kind: "order",
    order: {
      kind: "start",
      worker: worker.id,
      task: taskNameOf(run, index),
      attempt,
      specification: run.jobRun.job.specification,
      ticket: run.advice.allowed.get(worker.id)?.text,
      checkpoint: task?.kind === "placed" ? task.checkpoint : undefined,
      isSuspect: isSuspect(run, index),
    },
  });
  return `${index}#${attempt}@${worker.id}`;
}
