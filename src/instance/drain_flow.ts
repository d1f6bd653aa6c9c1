/**
 * The planned stop: hands over what waits and what is held.
 *
 * @module
 */
import { holderOf, membersOf } from "../membership/mod.ts";
import type { Flow } from "./flow.ts";
import { moveTasks } from "./move_flow.ts";
import type { RequestEntry } from "./request_entry.ts";
import { spawn } from "./runner.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { flushUsage } from "./usage_flow.ts";
import { sleep } from "./waits.ts";

/** How often a stopping instance looks at what is left. */
const DRAIN_INTERVAL_MS = 200;

/** Hands queued tasks to peers until nothing is left that needs this process. */
export function* drainInstance(scheduler: Scheduler): Flow<void> {
  note(scheduler, "instance.draining");
  flushUsage(scheduler);
  while (!scheduler.drained) {
    for (const entry of scheduler.requests.values()) {
      if (entry.role !== "home" || entry.outcome !== undefined) continue;
      const taskIds = [...entry.tasks.values()]
        .filter((task) => task.progress.kind === "queued")
        .map((task) => task.task.id);
      if (taskIds.length === 0) continue;
      spawn(
        scheduler.runner,
        moveTasks(scheduler, entry.request.id, taskIds),
      );
    }
    yield* sleep(DRAIN_INTERVAL_MS);
    scheduler.drained = hasNothingLeft(scheduler);
  }
  note(scheduler, "instance.drained");
}

/**
 * Tells whether the process may end: its workers are held by peers, its
 * requests have ended, and the log has what it was given.
 */
function hasNothingLeft(scheduler: Scheduler): boolean {
  const { membership, self } = scheduler;
  const hasPeers = membersOf(membership, self.zone)
    .some((peer) => holderOf(peer) !== selfHolder(scheduler));
  if (hasPeers && scheduler.held.size > 0) return false;
  if (scheduler.pendingAppends > 0) return false;
  for (const entry of scheduler.requests.values()) {
    if (entry.outcome === undefined && !isService(entry)) return false;
  }
  return true;
}

function isService(entry: RequestEntry): boolean {
  const first = [...entry.tasks.values()][0];
  return first?.task.policy.kind === "service";
}
