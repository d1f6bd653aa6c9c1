/**
 * Cancels requests: what waits is forgotten, what runs is stopped.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { memberOf, ownerHint } from "../membership/mod.ts";
import type { Flow } from "./flow.ts";
import { acceptanceSchema } from "./peer_message.ts";
import { applyPlacement } from "./placement_driver.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { findTask } from "./requests.ts";
import { endUnstarted } from "./task_end.ts";
import { waitToRetry } from "./retry.ts";
import { spawn } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { makeYield } from "./start_flow.ts";
import { callPeer } from "./waits.ts";

/** How often a withdrawal is sent to the peer that has the task. */
const MAX_WITHDRAW_TRIES = 20;
/** Time-out of one withdrawal. */
const WITHDRAW_TIMEOUT_MS = 1_000;

/** Cancels a request that this instance is the home of. */
export function cancelHere(
  scheduler: Scheduler,
  entry: RequestEntry,
): void {
  if (entry.cancelled || entry.outcome !== undefined) return;
  entry.cancelled = true;
  note(scheduler, "request.cancelled", entry.request.id);
  const tasks = [...entry.tasks.values()];
  const isQueued = (task: TaskEntry) => task.progress.kind === "queued";
  forgetQueued(scheduler, entry, tasks.filter(isQueued));
  for (const task of tasks) stopStarted(scheduler, task);
}

/** Forgets a task that waits, or stops it wherever it runs. */
export function stopTask(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
): void {
  if (task.progress.kind === "queued") forgetQueued(scheduler, entry, [task]);
  else stopStarted(scheduler, task);
}

/** Stops or forgets tasks on the request of a peer that answers for them. */
export function withdrawForPeer(
  scheduler: Scheduler,
  taskIds: string[],
): void {
  for (const taskId of taskIds) {
    const found = findTask(scheduler, taskId);
    if (found?.entry.role === "guest") {
      found.entry.cancelled = true;
      const { progress } = found.task;
      if (progress.kind === "queued") {
        forgetQueued(scheduler, found.entry, [found.task]);
      }
    }
    stopOnHeldWorkers(scheduler, taskId);
  }
}

function forgetQueued(
  scheduler: Scheduler,
  entry: RequestEntry,
  tasks: TaskEntry[],
): void {
  if (tasks.length === 0) return;
  const taskIds = tasks.map((task) => task.task.id);
  applyPlacement(scheduler, { kind: "withdrawn", taskIds });
  const { code, template } = diagnostics.cancelled;
  for (const task of tasks) {
    endUnstarted(scheduler, entry, task, code, template);
  }
}

/** Stops a task that was sent to a worker or a peer. */
function stopStarted(scheduler: Scheduler, task: TaskEntry): void {
  const taskId = task.task.id;
  const { progress } = task;
  switch (progress.kind) {
    case "starting":
    case "running":
      stopOnHeldWorkers(scheduler, taskId);
      break;
    case "moved":
      spawn(
        scheduler.runner,
        withdrawAt(scheduler, () => progress.guest, taskId),
      );
      break;
    case "away": {
      const { worker } = progress;
      const holder = () => ownerHint(scheduler.membership, worker)?.holder;
      spawn(scheduler.runner, withdrawAt(scheduler, holder, taskId));
      break;
    }
    case "queued":
    case "ended":
    case "returned":
      break;
  }
}

/** Stops a task on whichever held worker has it, or was sent it. */
function stopOnHeldWorkers(scheduler: Scheduler, taskId: string): void {
  const progress = findTask(scheduler, taskId)?.task.progress;
  for (const held of scheduler.held.values()) {
    const worker = held.address.id;
    const isSent = progress?.kind === "starting" && progress.worker === worker;
    const record = held.records.get(taskId);
    const isOpen = record?.state === "running" ||
      record?.state === "checkpointed";
    if (!isSent && !isOpen) continue;
    const flow = makeYield(scheduler, worker, held.token, taskId, "stop");
    spawn(scheduler.runner, flow);
  }
}

function* withdrawAt(
  scheduler: Scheduler,
  holderNow: () => string | undefined,
  taskId: string,
): Flow<void> {
  for (let tries = 0; tries < MAX_WITHDRAW_TRIES; tries++) {
    const progress = findTask(scheduler, taskId)?.task.progress;
    if (progress === undefined || progress.kind === "ended") return;
    const holder = holderNow();
    const member = holder === undefined
      ? undefined
      : memberOf(scheduler.membership, holder);
    if (member !== undefined) {
      const result = yield* callPeer(
        member.url,
        { kind: "withdraw", taskIds: [taskId] },
        acceptanceSchema,
        WITHDRAW_TIMEOUT_MS,
      );
      if (result.isOk()) return;
    }
    yield* waitToRetry(scheduler, tries + 1);
  }
}
