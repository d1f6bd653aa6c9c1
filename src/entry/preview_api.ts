/**
 * Answers where work would go if it were submitted now, without submitting it.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import {
  type ApiHost,
  type ApiResponse,
  buildJob,
  type BuiltJob,
  type PlacementQuestion,
  problemResponse,
} from "../api/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import { findSizeProblem } from "../domain/mod.ts";
import type { CallRouter } from "./call_router.ts";
import type { EntryContext } from "./entry_context.ts";
import { explainPreview } from "./explain_preview.ts";

const BAD_REQUEST = 400;
const UNPROCESSABLE_CONTENT = 422;
const UNAVAILABLE = 503;
/** Timeout of a call to the owner of a domain, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;

type PreviewContext = Pick<EntryContext, "configuration" | "manifest">;

/** Creates the operation that previews work. */
export function createPreviewApi(
  context: PreviewContext,
  router: Pick<CallRouter, "preview">,
): Pick<ApiHost, "where"> {
  return {
    async where(question) {
      const built = buildPreviewedJob(context, question);
      if (built.isErr()) return built.error;
      const { request, policy } = built.value;
      const found = await router.preview(request, policy, CALL_TIMEOUT_MS);
      switch (found.kind) {
        case "done":
          return { kind: "lines", lines: [...explainPreview(found.value)] };
        case "unknownJob":
        case "conflict":
          return ownerUnavailable("it does not answer the question");
        case "unavailable":
        case "undecided":
          return ownerUnavailable(found.cause);
      }
    },
  };
}

function ownerUnavailable(cause: string): ApiResponse {
  return problemResponse(UNAVAILABLE, diagnostics.ownerUnavailable, cause);
}

function buildPreviewedJob(
  context: PreviewContext,
  question: PlacementQuestion,
): Result<BuiltJob, ApiResponse> {
  const id = randomUUID();
  switch (question.kind) {
    case "submission": {
      const { submission } = question;
      const manifest = context.manifest.current()?.manifest;
      if (manifest === undefined) {
        const reason = "it has no manifest";
        return err(
          problemResponse(UNAVAILABLE, diagnostics.instanceNotReady, reason),
        );
      }
      const agreement = manifest.agreements.find(({ name }) =>
        name === submission.agreement
      );
      return buildJob(manifest, id, agreement?.customer ?? "", submission);
    }
    case "job":
      return buildQueuedJob(context, question, id);
  }
}

function buildQueuedJob(
  { configuration }: PreviewContext,
  question: Extract<PlacementQuestion, { kind: "job" }>,
  id: string,
): Result<BuiltJob, ApiResponse> {
  const { queue, clientAccount, steps } = question;
  const { routes = [], clientAccounts = [] } = configuration.current() ?? {};
  const route = routes.find(({ policy }) => policy.queue === queue);
  if (route === undefined) {
    const message = diagnostics.queueUnknown;
    return err(problemResponse(UNPROCESSABLE_CONTENT, message, queue));
  }
  const isKnown = clientAccount === undefined ||
    clientAccounts.some(({ name }) => name === clientAccount);
  if (!isKnown) {
    const message = diagnostics.clientAccountUnknown;
    return err(problemResponse(UNPROCESSABLE_CONTENT, message, clientAccount));
  }
  const request = { id, specification: "", steps };
  const problem = findSizeProblem(request) ?? findOrderProblem(request.steps);
  if (problem !== undefined) {
    const message = diagnostics.submissionInvalid;
    return err(problemResponse(BAD_REQUEST, message, "steps", problem));
  }
  const policy = clientAccount === undefined
    ? route.policy
    : { ...route.policy, clientAccount };
  return ok({ request, policy });
}

/** Returns why the steps cannot be ordered, if so. */
function findOrderProblem(steps: { after: number[] }[]): string | undefined {
  const isOrdered = steps.every(({ after }, index) =>
    after.every((predecessor) => predecessor >= 0 && predecessor < index)
  );
  return isOrdered ? undefined : "a step comes after one that is not earlier";
}
