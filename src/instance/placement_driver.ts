/**
 * Puts events into the placement core and carries its commands out.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import {
  type PlacementCommand,
  type PlacementEvent,
  stepPlacement,
} from "../placement/mod.ts";
import { moveTasks } from "./move_flow.ts";
import { findTask } from "./requests.ts";
import { endUnstarted } from "./task_end.ts";
import { replaceOrReport } from "./replace_service.ts";
import { spawn } from "./runner.ts";
import type { Scheduler } from "./scheduler.ts";
import { makeYield, startOnWorker } from "./start_flow.ts";
import type { Task } from "../model/mod.ts";

/** Puts one event into the placement core and carries out what follows. */
export function applyPlacement(
  scheduler: Scheduler,
  event: PlacementEvent,
): void {
  const commands = stepPlacement(
    scheduler.placement,
    event,
    scheduler.moment.wallMs,
  );
  for (const command of commands) carryOut(scheduler, command);
}

function carryOut(scheduler: Scheduler, command: PlacementCommand): void {
  switch (command.kind) {
    case "start":
      start(scheduler, command.worker, command.token, command.task);
      break;
    case "yield":
      spawn(
        scheduler.runner,
        makeYield(
          scheduler,
          command.worker,
          command.token,
          command.taskId,
          command.yielding,
        ),
      );
      break;
    case "refuse": {
      const found = findTask(scheduler, command.taskId);
      if (found === undefined) break;
      const { entry, task } = found;
      endUnstarted(scheduler, entry, task, command.code, command.cause);
      break;
    }
    case "replace":
      replaceOrReport(scheduler, command.worker, command.task);
      break;
    case "offload":
      spawn(
        scheduler.runner,
        moveTasks(scheduler, command.requestId, command.taskIds),
      );
      break;
    default:
      assertNever(command);
  }
}

function start(
  scheduler: Scheduler,
  worker: string,
  token: number,
  task: Task,
): void {
  const found = findTask(scheduler, task.id);
  if (found !== undefined) {
    found.task.progress = { kind: "starting", worker, token };
  }
  // A task of another home goes on here after a checkpoint on this worker.
  const flow = startOnWorker(
    scheduler,
    worker,
    token,
    found?.task.task ?? task,
  );
  spawn(scheduler.runner, flow);
}
