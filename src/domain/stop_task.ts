import type { Domain } from "./domain.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";

/** Orders the stop of a placed task; nothing happens to any other task. */
export function stopTask(domain: Domain, run: StepRun, index: number): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed" || task.phase.kind === "stopping") return;
  task.phase = { kind: "stopping", confirmedAtMs: undefined };
  orderStop(domain, task.worker, taskNameOf(run, index), task.attempt);
}

/** Orders a worker to stop an attempt, whatever the records know of it. */
export function orderStop(
  domain: Domain,
  worker: string,
  task: string,
  attempt: number,
): void {
  domain.commands.push({
    kind: "order",
    order: { kind: "stop", worker, task, attempt },
  });
}
