/**
 * The callers' part of the product's own API.
 *
 * @module
 */
import {
  type ApiHost,
  type ApiResponse,
  buildJob,
  buildRequestView,
  problemResponse,
} from "../api/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { JobDescription } from "../domain/mod.ts";
import type { Outcome, Submission } from "../model/mod.ts";
import type { CallRouter } from "./call_router.ts";
import type { EntryContext } from "./entry_context.ts";
import { servicesOf } from "./services.ts";

const NOT_FOUND = 404;
const CONFLICT = 409;
const UNPROCESSABLE = 422;
const UNAVAILABLE = 503;
/** Timeout of a call to the owner of a domain, in milliseconds. */
const CALL_TIMEOUT_MS = 5_000;
/** Upper limit of the time a call may wait for an outcome, in milliseconds. */
const MAX_WAIT_MS = 60_000;
/** How often a call that waits for an outcome polls the owner, in ms. */
const OUTCOME_POLL_INTERVAL_MS = 100;
const RETRY_AFTER_MS = 1_000;

/** The operations available to callers. */
export type RequestsApi = Pick<
  ApiHost,
  "submit" | "read" | "cancel" | "list"
>;

/** Creates the operations for callers. */
export function createRequestsApi(
  context: EntryContext,
  router: CallRouter,
): RequestsApi {
  async function describe(id: string): Promise<JobDescription | Outcome> {
    const services = servicesOf(context);
    const found = await router.describe(id, services, CALL_TIMEOUT_MS);
    switch (found.kind) {
      case "done":
        return found.value;
      case "unknownJob":
      case "conflict":
        return outcomeNotKnown("issued", diagnostics.notSubmitted.template);
      case "unavailable":
      case "undecided":
        return outcomeNotKnown("unreachable", found.cause);
    }
  }

  /**
   * Returns a request to its customer as soon as its outcome is final, or in
   * its current state once the wait is over.
   *
   * @param initial description to start from instead of calling the owner
   */
  async function readRequest(
    customer: string,
    id: string,
    waitMs: number,
    initial?: JobDescription | Outcome,
  ): Promise<ApiResponse> {
    const { clock } = context;
    const { signal } = context.closing;
    const waitUntilMs = clock.steadyMs() + Math.min(waitMs, MAX_WAIT_MS);
    let found = initial ?? await describe(id);
    while (true) {
      if ("kind" in found) {
        return {
          kind: "view",
          view: { id, outcome: found, tasks: [] },
        };
      }
      if (found.customer !== customer) {
        return problemResponse(NOT_FOUND, diagnostics.requestIdInvalid);
      }
      const view = buildRequestView(found);
      const isFinal = view.outcome.kind !== "notKnownYet";
      const isTimeUp = clock.steadyMs() >= waitUntilMs || signal.aborted;
      if (isFinal || isTimeUp) return { kind: "view", view };
      await clock.sleep(OUTCOME_POLL_INTERVAL_MS, signal);
      if (!signal.aborted) found = await describe(id);
    }
  }

  async function submit(
    customer: string,
    id: string,
    submission: Submission,
    waitMs: number,
  ): Promise<ApiResponse> {
    if (context.stopping.signal.aborted) {
      return problemResponse(UNAVAILABLE, diagnostics.instanceStopping);
    }
    const published = context.manifest.current();
    if (published === undefined) {
      const reason = "it has no manifest";
      return problemResponse(UNAVAILABLE, diagnostics.instanceNotReady, reason);
    }
    const built = buildJob(published.manifest, id, customer, submission);
    if (built.isErr()) return built.error;
    const { request, policy } = built.value;
    const outcome = await router.submit(request, policy, CALL_TIMEOUT_MS);
    switch (outcome.kind) {
      case "done":
        break;
      case "unavailable": {
        const { cause, retryAfterMs } = outcome;
        const refused = problemResponse(
          UNAVAILABLE,
          diagnostics.notStored,
          cause,
        );
        return { ...refused, retryAfterMs };
      }
      case "unknownJob":
      case "conflict":
      case "undecided": {
        const cause = "cause" in outcome ? outcome.cause : "";
        const unreachableOutcome = outcomeNotKnown("unreachable", cause);
        return {
          kind: "view",
          view: { id, outcome: unreachableOutcome, tasks: [] },
        };
      }
    }
    const stored = await describe(id);
    // Its content and its existence are no business of another customer.
    if ("customer" in stored && stored.customer !== customer) {
      return problemResponse(NOT_FOUND, diagnostics.requestIdInvalid);
    }
    const hasConflict = "specification" in stored &&
      stored.specification !== request.specification;
    if (hasConflict) {
      return problemResponse(CONFLICT, diagnostics.requestConflict);
    }
    const placementProblem = "waits" in stored
      ? findPlacementProblem(stored)
      : undefined;
    if (placementProblem !== undefined) {
      await router.cancel(id, policy, CALL_TIMEOUT_MS);
      const response = await readRequest(customer, id, 0);
      const didNotRun = response.kind === "view" &&
        response.view.outcome.kind === "didNotRun";
      // Only an owner that has ended the job can confirm that it did not run:
      // an earlier call with the same id may have run or may still be in flight.
      return didNotRun ? { ...placementProblem, ran: false } : response;
    }
    return await readRequest(customer, id, waitMs, stored);
  }

  return {
    submit,
    read: (customer, id, waitMs) => readRequest(customer, id, waitMs),
    async cancel(customer, id) {
      const found = await describe(id);
      if ("service" in found && found.customer === customer) {
        await router.cancel(id, found, CALL_TIMEOUT_MS);
      }
      return await readRequest(customer, id, 0);
    },
    async list(customer) {
      const owners = await context.ownedDomains.owners();
      return owners.flatMap((owner) => owner.list(customer)).map(
        buildRequestView,
      );
    },
  };
}

/** Returns why the listed workers can never run a request's tasks, if so. */
function findPlacementProblem(job: JobDescription) {
  if (job.hasStarted) return undefined;
  for (const { listed, places, gangSize } of job.waits) {
    if (listed === 0) continue;
    if (places === 0) {
      return problemResponse(UNPROCESSABLE, diagnostics.unschedulable, listed);
    }
    if (places < gangSize) {
      return problemResponse(
        UNPROCESSABLE,
        diagnostics.gangTooLarge,
        gangSize,
        places,
      );
    }
  }
  return undefined;
}

function outcomeNotKnown(
  state: "issued" | "unreachable",
  cause: string,
): Outcome {
  return { kind: "notKnownYet", state, cause, retryAfterMs: RETRY_AFTER_MS };
}
