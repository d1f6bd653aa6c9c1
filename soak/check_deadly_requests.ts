import type { RunRecord } from "../stand_ins/platform/worker.ts";
import type { TrackedRequest } from "./track_request.ts";

/** How many workers a task may crash, while others restart by themselves. */
const MAX_CRASHED_WORKERS = 10;

/**
 * Finds jobs that crash each worker that starts them, and that were not given up
 * in time.
 */
export function* checkDeadlyRequests(
  requests: TrackedRequest[],
  runs: RunRecord[],
): Generator<string> {
  for (const { id, workItem, result } of requests) {
    const name = `deadly ${workItem.key} (${id})`;
    if (result === "no final outcome") yield `${name}: no final outcome`;
    const crashed = runs.filter(({ task }) => task.startsWith(`${id}.`)).length;
    if (crashed > MAX_CRASHED_WORKERS) {
      yield `${name}: started ${crashed} times`;
    }
  }
}
