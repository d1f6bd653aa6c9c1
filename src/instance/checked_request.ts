/**
 * Checks a submission against the manifest in force.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { digest } from "../base/mod.ts";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import {
  type Manifest,
  type Request,
  type Submission,
  taskIdOf,
} from "../model/mod.ts";
import { type Problem, problem } from "./problem.ts";

/** Status of a submission that names something that does not exist. */
const UNPROCESSABLE = 422;

/**
 * Builds the request that a submission asks for.
 *
 * @param nowMs wall clock in milliseconds since the epoch
 * @returns the request, or the problem that the caller is told
 */
export function checkSubmission(
  manifest: Manifest,
  requestId: string,
  customer: string,
  submission: Submission,
  nowMs: number,
): Result<Request, Problem> {
  const agreement = manifest.agreements.find((candidate) =>
    candidate.name === submission.agreement && candidate.customer === customer
  );
  if (agreement === undefined) {
    const message = diagnostics.agreementUnknown;
    const detail = formatDiagnostic(message, customer, submission.agreement);
    return err(problem(UNPROCESSABLE, message.code, detail, false));
  }
  const work = agreement.work.find((kind) => kind.name === submission.work);
  if (work === undefined) {
    const message = diagnostics.workUnknown;
    const { name } = agreement;
    const detail = formatDiagnostic(message, name, submission.work);
    return err(problem(UNPROCESSABLE, message.code, detail, false));
  }
  const count = submission.tasks.length;
  const { deadlineMs } = submission;
  return ok({
    id: requestId,
    customer,
    agreement: agreement.name,
    work: work.name,
    digest: submissionDigest(submission),
    // A service outlives its home, so that its replicas are kept up.
    durable: work.durable || work.policy.kind === "service",
    acceptedAtMs: nowMs,
    ...(deadlineMs === undefined ? {} : { startByMs: nowMs + deadlineMs }),
    tasks: submission.tasks.map((task, index) => ({
      id: taskIdOf(requestId, index),
      requestId,
      index,
      count,
      attempt: 1,
      customer,
      agreement: agreement.name,
      work: work.name,
      policy: work.policy,
      urgency: work.urgency,
      idempotent: work.idempotent,
      demand: task.demand ?? work.demand,
      durationMs: task.durationMs ?? work.durationMs,
      payload: task.payload,
    })),
  });
}

/** Digests a submission, to tell a repeat from another submission. */
export function submissionDigest(submission: Submission): string {
  return digest(JSON.stringify(submission));
}
