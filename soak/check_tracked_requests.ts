import type { RunRecord } from "../stand_ins/platform/worker.ts";
import type { TrackedRequest } from "./track_request.ts";

/** Finds reports to callers that contradict the workers' records. */
export function* checkTrackedRequests(
  requests: TrackedRequest[],
  runs: RunRecord[],
): Generator<string> {
  const runsByTask = new Map<string, RunRecord[]>();
  for (const run of runs) {
    runsByTask.set(run.task, [...runsByTask.get(run.task) ?? [], run]);
  }
  for (const request of requests) {
    yield* checkTrackedRequest(
      request,
      (index) => runsByTask.get(`${request.id}.0.0.${index}`) ?? [],
    );
  }
}

function* checkTrackedRequest(
  { id, workItem, result }: TrackedRequest,
  runsOf: (index: number) => RunRecord[],
): Generator<string> {
  const name = `${workItem.key} (${id})`;
  if (result === "no final outcome") {
    yield `${name}: no final outcome`;
    return;
  }
  if (result === "never accepted") return;
  if (result === "rejected" || result.kind === "didNotRun") {
    const hasRun = workItem.submission.tasks.some((_, index) =>
      runsOf(index).length > 0
    );
    if (hasRun) yield `${name}: it ran, but was reported as not run`;
    return;
  }
  if (result.kind !== "ran") return;
  for (const task of result.tasks) {
    const runs = runsOf(task.index);
    const ends = runs.map(({ end }) => end);
    const hasCompletedRun = ends.includes("done");
    const isExpected = hasCompletedRun === (task.kind === "finished");
    // Whether the end was read before the worker crashed is not known.
    const isUnknown = hasCompletedRun &&
      runs.every(({ end, mayBeUnread }) => end !== "done" || mayBeUnread);
    if (!isExpected && !isUnknown) {
      yield `${name}: task ${task.index} was reported as ${task.kind}, ` +
        `its runs ended as ${ends.join(", ") || "none"}`;
    }
    if (task.kind === "didNotRun" && ends.length > 0) {
      yield `${name}: task ${task.index} ran, but was reported as not run`;
    }
  }
}
