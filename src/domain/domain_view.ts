import type { Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import { taskNameOf } from "./step_run.ts";
import { isDraining } from "./worker_incarnation.ts";

/** A worker of a domain, for display to operators. */
export type WorkerView = {
  id: string;
  zone: string;
  rack: string;
  state: "held" | "silent" | "leaving";
  tasks: number;
  used: Resources;
  capacity: Resources;
};

/** A task that has not ended, for display to operators. */
export type TaskView = {
  id: string;
  queue: string;
  /** Empty if the job belongs to no customer. */
  customer: string;
  state: "queued" | "starting" | "running";
  worker: string | undefined;
  /** Time since its step became ready, in milliseconds. */
  waitedMs: number;
};

/** Returns the workers that are listed or have placed tasks. */
export function viewWorkers(domain: Domain): WorkerView[] {
  return [...domain.workers.values()].map((worker) => ({
    id: worker.id,
    zone: worker.listing?.zone ?? "",
    rack: worker.listing?.rack ?? "",
    state: workerStateOf(worker),
    tasks: worker.placed.size,
    used: worker.used,
    capacity: worker.capacity,
  }));
}

/** Yields the tasks that wait, start or run. */
export function* viewTasks(
  domain: Domain,
  moment: Moment,
): Generator<TaskView> {
  for (const run of domain.steps.values()) {
    const waitedMs = Math.round(moment.steadyMs - run.readyAtMs);
    for (const [index, task] of run.tasks.entries()) {
      const isPlaced = task.kind === "placed";
      // The placed tasks of an ended job are still being stopped.
      const isOpen = run.jobRun.job.outcome === "open";
      if (task.kind === "done" || (!isPlaced && !isOpen)) continue;
      const isRunning = isPlaced && task.phase.kind !== "starting" &&
        task.phase.kind !== "recorded";
      yield {
        id: taskNameOf(run, index),
        queue: run.jobRun.job.policy.queue,
        customer: run.jobRun.job.policy.customer ?? "",
        state: isRunning ? "running" : isPlaced ? "starting" : "queued",
        worker: isPlaced ? task.worker : undefined,
        waitedMs,
      };
    }
  }
}

function workerStateOf(worker: DomainWorker): WorkerView["state"] {
  if (!worker.isReachable) return "silent";
  const isLeaving = worker.listing === undefined || isDraining(worker);
  return isLeaving ? "leaving" : "held";
}
