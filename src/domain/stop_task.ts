import type { Domain } from "./domain.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";

/** Stops a placed task; does nothing if it is not placed or is stopping. */
export function stopTask(domain: Domain, run: StepRun, index: number): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed" || task.phase.kind === "stopping") return;
  task.phase = { kind: "stopping", confirmedAtMs: undefined };
  orderStop(domain, task.worker, taskNameOf(run, index), task.attempt);
}

/** Orders a worker to stop an attempt, whether or not it is recorded. */
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
