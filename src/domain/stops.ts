import type { Domain } from "./domain.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";

/** Orders the stop of a placed task; nothing happens to any other task. */
export function stopTask(domain: Domain, run: StepRun, index: number): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed" || task.phase.kind === "stopping") return;
  task.phase = { kind: "stopping", confirmedAtMs: undefined };
  domain.commands.push({
    kind: "order",
    order: {
      kind: "stop",
      worker: task.worker,
      task: taskNameOf(run, index),
      attempt: task.attempt,
    },
  });
}
