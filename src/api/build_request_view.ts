import { diagnostics } from "../diagnostics/mod.ts";
import type { JobDescription, TaskDescription } from "../domain/mod.ts";
import type { Outcome, RequestView, TaskOutcome } from "../model/mod.ts";

/** How long a caller should wait before it polls again, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Builds the view of a job that its caller receives.
 *
 * @example
 * ```ts
 * buildRequestView(description).outcome.kind; // "ran"
 * ```
 */
export function buildRequestView(job: JobDescription): RequestView {
  return {
    id: job.id,
    outcome: requestOutcome(job),
    tasks: job.tasks.map(({ index, state, worker, attempt }) => ({
      index,
      state,
      ...(worker === undefined ? {} : { worker }),
      attempt,
    })),
  };
}

function requestOutcome(job: JobDescription): Outcome {
  switch (job.state) {
    case "pending":
      return outcomeNotKnownYet("queued", diagnostics.waitingToStart.template);
    case "running":
      return outcomeNotKnownYet("running", diagnostics.stillRunning.template);
    case "completed":
    case "failed":
      return outcomeOfEndedJob(job);
    case "cancelled": {
      if (job.hasStarted) return outcomeOfEndedJob(job);
      const { code, template } = hasMissedStartDeadline(job)
        ? diagnostics.deadlinePassed
        : diagnostics.cancelled;
      return { kind: "didNotRun", code, cause: template };
    }
  }
}

/**
 * Returns the final outcome once no task is active; a task that is being
 * stopped may still complete on its own.
 */
function outcomeOfEndedJob({ tasks }: JobDescription): Outcome {
  const hasActiveTask = tasks.some(({ state }) =>
    state === "starting" || state === "running"
  );
  return hasActiveTask
    ? outcomeNotKnownYet("running", diagnostics.stillRunning.template)
    : { kind: "ran", tasks: tasks.map(taskOutcome) };
}

/** Whether a job that never started ended after its start deadline. */
function hasMissedStartDeadline(job: JobDescription): boolean {
  const { acceptedAtMs, startWithinMs, endedAtMs } = job;
  return startWithinMs !== undefined && endedAtMs !== undefined &&
    endedAtMs > acceptedAtMs + startWithinMs;
}

function outcomeNotKnownYet(
  state: "queued" | "running",
  cause: string,
): Outcome {
  return { kind: "notKnownYet", state, cause, retryAfterMs: RETRY_AFTER_MS };
}

/** Returns the outcome of a task of an ended job. */
function taskOutcome(task: TaskDescription): TaskOutcome {
  const { index, state, attempt, failures } = task;
  if (state === "done") return { kind: "finished", index, attempt };
  if (attempt === 0) {
    const cause = "The request ended before its turn came.";
    return { kind: "didNotRun", index, cause };
  }
  if (failures > 0) {
    return {
      kind: "failed",
      index,
      attempt,
      cause: `Failed ${failures} times.`,
    };
  }
  const cause = "Stopped, or lost with its worker.";
  return { kind: "stopped", index, attempt, cause };
}
