import type { JobPreview, StepPreview } from "../domain/mod.ts";
import { explainWait } from "./explain_job.ts";

/**
 * Describes in short lines where the tasks of a job would go, and why.
 *
 * @example
 * ```ts
 * for (const line of explainPreview(preview)) console.log(line);
 * ```
 */
export function* explainPreview(preview: JobPreview): Generator<string> {
  const { queue, service, clientAccount, steps, laterSteps } = preview;
  const account = clientAccount === undefined ? "" : ` for ${clientAccount}`;
  yield `queue ${queue} of service ${service}${account}; nothing was submitted`;
  for (const step of steps) yield* explainStep(step, preview.needsAdvice);
  if (laterSteps > 0) yield `${laterSteps} steps would wait for earlier ones`;
}

function* explainStep(
  step: StepPreview,
  needsAdvice: boolean,
): Generator<string> {
  const { index, taskCount, rank, waitingSteps, slackMs } = step;
  yield `step ${index} with ${taskCount} tasks would be number ${rank} of ` +
    `${waitingSteps} waiting steps, ${describeSlack(slackMs)}`;
  for (const [worker, tasks] of step.placements) {
    yield `${tasks} of its tasks would start on ${worker}`;
  }
  const { candidates } = step;
  if (needsAdvice && candidates.length > 0) {
    yield "the placement policy was not asked; it may refuse these workers:";
  }
  for (const candidate of candidates) yield describeCandidate(candidate);
  if (step.wait !== undefined) yield explainWait(step.wait);
}

function describeSlack(slackMs: number): string {
  return slackMs >= 0
    ? `${slackMs} ms before its latest start`
    : `${-slackMs} ms after its latest start`;
}

function describeCandidate(
  candidate: StepPreview["candidates"][number],
): string {
  const { worker, rack, score, freeCpuMillis, isRemote } = candidate;
  const { consecutiveFailures } = candidate;
  const reasons = [
    `${freeCpuMillis} millicores free`,
    ...(isRemote ? ["data in another rack"] : []),
    ...(consecutiveFailures > 0
      ? [`${consecutiveFailures} failures in a row`]
      : []),
  ];
  return `${worker} in rack ${rack} scores ${score.toFixed(2)}: ` +
    reasons.join(", ");
}
