import type { RunRecord } from "../stand_ins/platform/worker.ts";
import type { FollowedRequest } from "./follow_request.ts";

/** Finds what callers were told that the workers' records contradict. */
export function* checkFollowed(
  followed: FollowedRequest[],
  runs: RunRecord[],
): Generator<string> {
  const byTask = new Map<string, RunRecord[]>();
  for (const run of runs) {
    byTask.set(run.task, [...byTask.get(run.task) ?? [], run]);
  }
  for (const request of followed) {
    yield* checkOne(
      request,
      (index) => byTask.get(`${request.id}.0.0.${index}`) ?? [],
    );
  }
}

function* checkOne(
  { id, order, heard }: FollowedRequest,
  runsOf: (index: number) => RunRecord[],
): Generator<string> {
  const name = `${order.key} (${id})`;
  if (heard === "nothing final") {
    yield `${name}: no final answer`;
    return;
  }
  if (heard === "never taken on") return;
  if (heard === "refused" || heard.kind === "didNotRun") {
    const isRun = order.submission.tasks.some((_, index) =>
      runsOf(index).length > 0
    );
    if (isRun) yield `${name}: it ran, but was said not to have run`;
    return;
  }
  if (heard.kind !== "ran") return;
  for (const task of heard.tasks) {
    const ends = runsOf(task.index).map(({ end }) => end);
    const isDone = ends.includes("done");
    if (isDone !== (task.kind === "finished")) {
      yield `${name}: task ${task.index} was told as ${task.kind}, ` +
        `its runs ended as ${ends.join(", ") || "none"}`;
    }
    if (task.kind === "didNotRun" && ends.length > 0) {
      yield `${name}: task ${task.index} ran, but was said not to have run`;
    }
  }
}
