/**
 * A preview of what the scheduler would do with a job now, without accepting
 * it.
 *
 * @module
 */
import * as v from "valibot";
import { applyDomainEvent, scheduleDomain } from "./apply_domain_event.ts";
import {
  findEligibleWorkers,
  hasCapacityForTask,
  scoreWorker,
} from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { explainWait, waitReportSchema } from "./explain_wait.ts";
import type { JobRequest, QueuePolicy } from "./job.ts";
import { rankWaitingSteps } from "./schedule.ts";
import type { StepRun } from "./step_run.ts";

/** Number of workers of which the score is shown. */
const MAX_CANDIDATES = 4;
/** Calls are numbered from 1, so no caller waits for the answer to this one. */
const NO_CALL = 0;

/** Schema of a worker that could run a task of a step now. */
export const candidateSchema = v.object({
  worker: v.string(),
  rack: v.string(),
  /** The worker with the highest score is chosen. */
  score: v.number(),
  /** Free processor time, in millicores. */
  freeCpuMillis: v.number(),
  /** Whether the data of the step is in another rack. */
  isRemote: v.boolean(),
  consecutiveFailures: v.number(),
});

/** Schema of what would happen to a step of a job. */
export const stepPreviewSchema = v.object({
  index: v.number(),
  taskCount: v.number(),
  /** Its place among the steps that wait, counted from 1. */
  rank: v.number(),
  waitingSteps: v.number(),
  /** Time until its latest start that meets the objective, in ms. */
  slackMs: v.number(),
  /** The workers with the highest scores before the pass, best first. */
  candidates: v.array(candidateSchema),
  /** Number of tasks that would start now, by worker. */
  placements: v.array(v.tuple([v.string(), v.number()])),
  /** Present if tasks would wait. */
  wait: v.optional(waitReportSchema),
});

/** What would happen to a step of a job. */
export type StepPreview = v.InferOutput<typeof stepPreviewSchema>;

/** Schema of what would happen to a job. */
export const jobPreviewSchema = v.object({
  queue: v.string(),
  service: v.string(),
  clientAccount: v.optional(v.string()),
  /** Whether the placement policy would be asked before its tasks start. */
  needsAdvice: v.boolean(),
  /** The steps that would be ready at once. */
  steps: v.array(stepPreviewSchema),
  /** Number of steps that wait for others. */
  laterSteps: v.number(),
});

/** What would happen to a job. */
export type JobPreview = v.InferOutput<typeof jobPreviewSchema>;

/**
 * Previews a job: submits it to a copy of the domain and runs a scheduling pass
 * there. The domain itself does not change. Advice of the placement policy is
 * not requested, so tasks of a queue with advice are never placed; the
 * candidates are the workers that the policy could allow.
 *
 * @param request a job whose id the domain does not have
 *
 * @example
 * ```ts
 * const { steps } = previewJob(domain, request, policy, moment);
 * console.log(steps[0]?.placements); // [["kigali-w1", 4]]
 * ```
 */
export function previewJob(
  domain: Domain,
  request: JobRequest,
  policy: QueuePolicy,
  moment: Moment,
): JobPreview {
  const copy = structuredClone(domain);
  applyDomainEvent(
    copy,
    { kind: "submitted", call: NO_CALL, request, policy },
    moment,
  );
  const ranked = rankWaitingSteps(copy, moment);
  const ready = ranked.filter(({ jobRun }) => jobRun.job.id === request.id);
  const previews = ready.map((run): Omit<StepPreview, "placements"> => ({
    index: run.index,
    taskCount: run.step.taskCount,
    rank: ranked.indexOf(run) + 1,
    waitingSteps: ranked.length,
    slackMs: Math.round(run.latestStartMs - moment.wallMs),
    candidates: bestCandidates(copy, run, moment),
  }));
  scheduleDomain(copy, moment);
  return {
    queue: policy.queue,
    service: policy.service,
    ...(policy.clientAccount === undefined
      ? {}
      : { clientAccount: policy.clientAccount }),
    needsAdvice: policy.advice !== undefined,
    steps: ready.map((run, position) => ({
      ...previews[position]!,
      placements: countPlacements(run),
      ...(run.waitingCount === 0
        ? {}
        : { wait: explainWait(copy, run, moment) }),
    })),
    laterSteps: request.steps.length - ready.length,
  };
}

function bestCandidates(
  domain: Domain,
  run: StepRun,
  { steadyMs }: Moment,
): StepPreview["candidates"] {
  return findEligibleWorkers(domain, run)
    .filter((worker) => hasCapacityForTask(worker, run, steadyMs))
    .map((worker) => describeCandidate(domain, worker, run))
    .sort((left, right) => right.score - left.score)
    .slice(0, MAX_CANDIDATES);
}

function describeCandidate(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
): StepPreview["candidates"][number] {
  const { dataRack } = run.step;
  const rack = worker.listing?.rack ?? "";
  return {
    worker: worker.id,
    rack,
    score: scoreWorker(domain, worker, run),
    freeCpuMillis: worker.capacity.cpuMillis - worker.used.cpuMillis,
    isRemote: dataRack !== undefined && rack !== dataRack,
    consecutiveFailures: worker.health.consecutiveFailures,
  };
}

function countPlacements(run: StepRun): [worker: string, tasks: number][] {
  const tasksByWorker = new Map<string, number>();
  for (const task of run.tasks) {
    if (task.kind !== "placed") continue;
    const known = tasksByWorker.get(task.worker) ?? 0;
    tasksByWorker.set(task.worker, known + 1);
  }
  return [...tasksByWorker];
}
