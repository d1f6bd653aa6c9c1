import type {
  InterferenceRow,
  JobDescription,
  WaitReport,
} from "../domain/mod.ts";
import type { CallOutcome } from "./call_router.ts";

/** Describes the state of a job in short lines, with the reason for its waits. */
export function explainJob(
  id: string,
  found: CallOutcome<JobDescription>,
): string[] {
  switch (found.kind) {
    case "done":
      return [...describeJob(found.value)];
    case "unknownJob":
    case "conflict":
      return [`${id} is not known to any owner`];
    case "unavailable":
    case "undecided":
      return [`the owner of ${id} cannot be reached: ${found.cause}`];
  }
}

function* describeJob(job: JobDescription): Generator<string> {
  const { id, queue, state, tasks, waits } = job;
  yield `${id} of queue ${queue} is ${state}`;
  for (const { index, state: taskState, attempt, worker } of tasks) {
    const workerSuffix = worker === undefined ? "" : ` on ${worker}`;
    yield `task ${index} attempt ${attempt} is ${taskState}${workerSuffix}`;
  }
  for (const wait of waits) yield explainWait(wait);
  for (const row of job.interference ?? []) yield explainInterference(row);
}

/** Tells by which factor an image raises the tail latency of another one. */
function explainInterference(row: InterferenceRow): string {
  const { victim, source, verdict, factor, atLeast, atMost } = row;
  return `${source} beside ${victim}: tail latency times ${factor} ` +
    `(${atLeast} to ${atMost}), ${verdict}`;
}

/** Names the first condition that no worker meets as the reason for a wait. */
export function explainWait(wait: WaitReport): string {
  const { step, waiting, waitedMs } = wait;
  return `step ${step} has ${waiting} tasks waiting for ${waitedMs} ms: ` +
    explainWaitReason(wait);
}

function explainWaitReason(wait: WaitReport): string {
  if (wait.unsettled > 0) {
    return `${wait.unsettled} workers may run them since before the ` +
      "last change of the owner";
  }
  if (wait.capped > 0) {
    return "the client account has no capacity left under its cap";
  }
  if (wait.eligible === 0) return "no listed worker fits them";
  if (wait.held === 0) return "the owner reaches none of the workers";
  if (wait.unrefused === 0) return "the placement policy refuses every worker";
  if (wait.withRoom === 0) {
    return wait.beyondRate === 1
      ? "every worker is full or set aside, and work within the rates of " +
        "client accounts goes first"
      : "every worker is full or set aside";
  }
  if (wait.ticketed === 0) {
    return wait.asking > 0
      ? "a question to the placement policy is on its way"
      : "a ticket of the placement policy is missing";
  }
  return "their turn comes with the next pass";
}
