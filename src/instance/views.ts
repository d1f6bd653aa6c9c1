/**
 * Shows callers what is known of a request.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import type { Outcome } from "../model/mod.ts";
import { RETRY_AFTER_MS } from "./refusals.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import type { Scheduler } from "./scheduler.ts";
import type { View } from "./view.ts";

/** Shows a request of the table. */
export function viewOf(entry: RequestEntry): View {
  return {
    id: entry.request.id,
    outcome: entry.outcome ?? openOutcome(entry),
    durability: entry.durability,
    tasks: [...entry.tasks.values()].map(taskView),
  };
}

/** Shows a request of which only the outcome is known. */
export function emptyView(id: string, outcome: Outcome): View {
  return { id, outcome, durability: "none", tasks: [] };
}

/** Lists the requests of a customer that this instance is the home of. */
export function listRequests(scheduler: Scheduler, customer: string): View[] {
  return [...scheduler.requests.values()]
    .filter((entry) => entry.role === "home")
    .filter((entry) => entry.request.customer === customer)
    .map(viewOf);
}

function openOutcome(entry: RequestEntry): Outcome {
  const tasks = [...entry.tasks.values()];
  const isQueued = tasks.every((task) => task.progress.kind === "queued");
  const { template } = isQueued
    ? diagnostics.waitingToStart
    : diagnostics.stillRunning;
  return {
    kind: "notKnownYet",
    state: isQueued ? "queued" : "running",
    cause: template,
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function taskView(entry: TaskEntry): View["tasks"][number] {
  const { task, progress } = entry;
  const base = { index: task.index, attempt: task.attempt };
  switch (progress.kind) {
    case "starting":
    case "running":
    case "away":
      return { ...base, state: progress.kind, worker: progress.worker };
    case "ended":
      return { ...base, state: progress.outcome.kind };
    case "queued":
    case "moved":
    case "returned":
      return { ...base, state: progress.kind };
  }
}
