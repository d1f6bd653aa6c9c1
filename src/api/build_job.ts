import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../diagnostics/mod.ts";
import type { JobRequest, QueuePolicy, Step } from "../domain/mod.ts";
import {
  agreementName,
  type Manifest,
  MOST_URGENT,
  RESOURCE_NAMES,
  type Resources,
  type Submission,
  type WorkKind,
} from "../model/mod.ts";
import type { ApiResponse } from "./api_response.ts";
import { problemResponse } from "./problem_response.ts";

const BAD_REQUEST = 400;
/** Status of a submission that names something that does not exist. */
const UNPROCESSABLE_CONTENT = 422;
/** The longest text that the platform hands to a worker, in bytes. */
const MAX_SPECIFICATION_BYTES = 4_000;
/** How often work that may run again is tried. */
const IDEMPOTENT_MAX_ATTEMPTS = 3;
/** Factor on the length of the work until it counts as late. */
const SLACK_FACTOR = 2;
/** The wait that the least urgent work can bear, in milliseconds. */
const MAX_TARGET_COMPLETION_MS = 10_000;

/** A job with the policy under which it is accepted. */
export type BuiltJob = { request: JobRequest; policy: QueuePolicy };

/**
 * Builds the job that a submission asks for, as the manifest in force has it.
 * Workers read the payload of a task at its step and index.
 *
 * @example
 * ```ts
 * const job = buildJob(manifest, id, "order-desk", submission);
 * ```
 *
 * @returns the job, or the answer to the caller
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
  return ok({
    request: {
      id,
      specification,
      steps: groups.map(({ step }) => step),
      ...(deadlineMs === undefined ? {} : { startWithinMs: deadlineMs }),
    },
    policy: {
      queue: `${agreement.name}/${work.name}`,
      service: work.service,
      priority: MOST_URGENT - work.urgency,
      maxAttempts: work.idempotent ? IDEMPOTENT_MAX_ATTEMPTS : 1,
      slackFactor: SLACK_FACTOR,
      targetCompletionMs: MAX_TARGET_COMPLETION_MS / (1 + work.urgency),
      customer,
      agreement: agreementName({ customer, agreement: agreement.name }),
      share: agreement.share,
    },
  });
}

type TaskGroup = { step: Step; payloads: unknown[] };

/**
 * Neighbours with equal needs become one step, so that the order of the tasks
 * stays the caller's; steps do not wait for each other.
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
