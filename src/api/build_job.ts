import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  findSizeProblem,
  type JobRequest,
  type QueuePolicy,
  type Step,
} from "../domain/mod.ts";
import {
  formatAgreementKey,
  type Manifest,
  MAX_URGENCY,
  RESOURCE_NAMES,
  type Resources,
  type Submission,
  type WorkKind,
} from "../model/mod.ts";
import type { ApiResponse } from "./api_response.ts";
import { problemResponse } from "./problem_response.ts";

const BAD_REQUEST = 400;
/** Status for a submission that names an unknown agreement or kind of work. */
const UNPROCESSABLE_CONTENT = 422;
/** Maximum size of a specification passed to a worker, in bytes. */
const MAX_SPECIFICATION_BYTES = 4_000;
/** Maximum number of attempts for a task of idempotent work. */
const IDEMPOTENT_MAX_ATTEMPTS = 3;
/** Multiple of the estimated duration that the completion objective allows. */
const SLACK_FACTOR = 2;
/**
 * Constant part of the completion objective for the least urgent work, in
 * milliseconds.
 */
const MAX_TARGET_COMPLETION_MS = 10_000;

/** A job with the queue policy under which it is accepted. */
export type BuiltJob = { request: JobRequest; policy: QueuePolicy };

/**
 * Builds the job for a submission according to the manifest in force. The
 * specification lists the payloads of the tasks by step and by index within
 * the step, where workers look them up.
 *
 * @example
 * ```ts
 * const job = buildJob(manifest, id, "order-desk", submission);
 * ```
 *
 * @returns the job, or the problem response for the caller
 */
export function buildJob(
  manifest: Manifest,
  id: string,
  customer: string,
  submission: Submission,
): Result<BuiltJob, ApiResponse> {
  const agreement = manifest.agreements.find((candidate) =>
    candidate.name === submission.agreement && candidate.customer === customer
  );
  if (agreement === undefined) {
    return err(
      problemResponse(
        UNPROCESSABLE_CONTENT,
        diagnostics.agreementUnknown,
        customer,
        submission.agreement,
      ),
    );
  }
  const work = agreement.work.find(({ name }) => name === submission.work);
  if (work === undefined) {
    return err(
      problemResponse(
        UNPROCESSABLE_CONTENT,
        diagnostics.workUnknown,
        agreement.name,
        submission.work,
      ),
    );
  }
  const groups = groupTasks(submission, work);
  if (work.policy.kind === "gang" && groups.length > 1) {
    const reason = "the tasks of a gang have equal needs";
    return err(
      problemResponse(
        BAD_REQUEST,
        diagnostics.submissionInvalid,
        "tasks",
        reason,
      ),
    );
  }
  const specification = JSON.stringify({
    agreement: agreement.name,
    work: work.name,
    steps: groups.map(({ payloads }) => payloads),
  });
  if (Buffer.byteLength(specification) > MAX_SPECIFICATION_BYTES) {
    const reason =
      `all payloads take more than ${MAX_SPECIFICATION_BYTES} bytes`;
    return err(
      problemResponse(
        BAD_REQUEST,
        diagnostics.submissionInvalid,
        "tasks",
        reason,
      ),
    );
  }
  const { deadlineMs } = submission;
  const request = {
    id,
    specification,
    steps: groups.map(({ step }) => step),
    ...(deadlineMs === undefined ? {} : { startWithinMs: deadlineMs }),
  };
  const problem = findSizeProblem(request);
  if (problem !== undefined) {
    const message = diagnostics.submissionInvalid;
    return err(problemResponse(BAD_REQUEST, message, "tasks", problem));
  }
  return ok({
    request,
    policy: {
      queue: `${agreement.name}/${work.name}`,
      service: work.service,
      priority: MAX_URGENCY - work.urgency,
      maxAttempts: work.idempotent ? IDEMPOTENT_MAX_ATTEMPTS : 1,
      slackFactor: SLACK_FACTOR,
      targetCompletionMs: MAX_TARGET_COMPLETION_MS / (1 + work.urgency),
      customer,
      agreement: formatAgreementKey({ customer, agreement: agreement.name }),
      share: agreement.share,
    },
  });
}

type TaskGroup = { step: Step; payloads: unknown[] };

/**
 * Groups consecutive tasks with equal demand and duration into one step, which
 * preserves the caller's task order. Steps do not depend on each other.
 */
function groupTasks(submission: Submission, work: WorkKind): TaskGroup[] {
  const groups: TaskGroup[] = [];
  for (const task of submission.tasks) {
    const demand = task.demand ?? work.demand;
    const estimateMs = task.durationMs ?? work.durationMs;
    const payload = task.payload ?? null;
    const lastGroup = groups.at(-1);
    if (
      lastGroup?.step.estimateMs === estimateMs &&
      isSameDemand(lastGroup.step.demand, demand)
    ) {
      lastGroup.step.taskCount += 1;
      lastGroup.payloads.push(payload);
      continue;
    }
    const step: Step = {
      taskCount: 1,
      demand,
      estimateMs,
      after: [],
      gang: work.policy.kind === "gang",
      colocated: false,
      longRunning: work.policy.kind === "service",
      opportunistic: false,
      checkpointed: false,
      ...(work.idempotent ? {} : { atMostOnce: true }),
    };
    groups.push({ step, payloads: [payload] });
  }
  return groups;
}

function isSameDemand(left: Resources, right: Resources): boolean {
  return RESOURCE_NAMES.every((name) => left[name] === right[name]);
}
