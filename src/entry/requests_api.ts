/**
 * The part of the product's own interface that callers use.
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
import type { Entry } from "./entry.ts";
import type { Running } from "./running.ts";
import { servicesOf } from "./services.ts";

const NOT_FOUND = 404;
const CONFLICT = 409;
const UNPROCESSABLE = 422;
const UNAVAILABLE = 503;
/** Time for one call to the owner of a domain, in milliseconds. */
const CALL_MS = 5_000;
/** The longest that a call may wait for an outcome, in milliseconds. */
const MAX_WAIT_MS = 60_000;
/** How often a call that waits for an outcome looks for it, in ms. */
const POLL_MS = 100;
const RETRY_AFTER_MS = 1_000;

/** What callers can do. */
export type RequestsApi = Pick<
  ApiHost,
  "submit" | "read" | "cancel" | "list"
>;

/** Creates the part for callers. */
export function createRequestsApi(
  running: Running,
  entry: Entry,
): RequestsApi {
  async function describe(id: string): Promise<JobDescription | Outcome> {
    const services = servicesOf(running);
    const found = await entry.describe(id, services, CALL_MS);
    switch (found.kind) {
      case "done":
        return found.value;
      case "unknownJob":
        return notKnown("issued", diagnostics.notSubmitted.template);
      case "unavailable":
      case "undecided":
        return notKnown("unreachable", found.cause);
    }
  }

  /**
   * Shows a request to its customer, once its outcome is final or later.
   *
   * @param first what the owner has just told of it
   */
  async function show(
    customer: string,
    id: string,
    waitMs: number,
    first?: JobDescription | Outcome,
  ): Promise<ApiResponse> {
    const { clock, ending } = running;
    const untilMs = clock.steadyMs() + Math.min(waitMs, MAX_WAIT_MS);
    let found = first ?? await describe(id);
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
      const isOver = clock.steadyMs() >= untilMs || ending.signal.aborted;
      if (isFinal || isOver) return { kind: "view", view };
      await clock.sleep(POLL_MS, ending.signal);
      found = await describe(id);
    }
  }

  async function submit(
    customer: string,
    id: string,
    submission: Submission,
    waitMs: number,
  ): Promise<ApiResponse> {
    if (running.stopping.signal.aborted) {
      return problemResponse(UNAVAILABLE, diagnostics.instanceStopping);
    }
    const published = running.manifest.current();
    if (published === undefined) {
      const reason = "it has no manifest";
      return problemResponse(UNAVAILABLE, diagnostics.instanceNotReady, reason);
    }
    const built = buildJob(published.manifest, id, customer, submission);
    if (built.isErr()) return built.error;
    const { request, policy } = built.value;
    const outcome = await entry.submit(request, policy, CALL_MS);
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
      case "undecided": {
        const cause = "cause" in outcome ? outcome.cause : "";
        const unreachable = notKnown("unreachable", cause);
        return { kind: "view", view: { id, outcome: unreachable, tasks: [] } };
      }
    }
    const stored = await describe(id);
    const isOther = "specification" in stored &&
      stored.specification !== request.specification;
    if (isOther) return problemResponse(CONFLICT, diagnostics.requestConflict);
    const unplaceable = "waits" in stored ? whyUnplaceable(stored) : undefined;
    if (unplaceable !== undefined) {
      await entry.cancel(id, policy.service, CALL_MS);
      const after = await show(customer, id, 0);
      const isCertain = after.kind === "view" &&
        after.view.outcome.kind === "didNotRun";
      // Only an owner that has ended the job can say this: an earlier call under
      // the same id may have run, or may still be on its way.
      return isCertain ? { ...unplaceable, ran: false } : after;
    }
    return await show(customer, id, waitMs, stored);
  }

  return {
    submit,
    read: (customer, id, waitMs) => show(customer, id, waitMs),
    async cancel(customer, id) {
      const found = await describe(id);
      if ("service" in found && found.customer === customer) {
        await entry.cancel(id, found.service, CALL_MS);
      }
      return await show(customer, id, 0);
    },
    async list(customer) {
      const owners = await running.holder.owners();
      return owners.flatMap((owner) => owner.list(customer)).map(
        buildRequestView,
      );
    },
  };
}

/** Why the workers that are listed can never hold a request's tasks. */
function whyUnplaceable(job: JobDescription) {
  if (job.hasStarted) return undefined;
  for (const { listed, places, gangSize } of job.waits) {
    if (listed === 0) continue;
    if (places === 0) {
      return problemResponse(UNPROCESSABLE, diagnostics.neverFits, listed);
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

function notKnown(
  state: "issued" | "unreachable",
  cause: string,
): Outcome {
  return { kind: "notKnownYet", state, cause, retryAfterMs: RETRY_AFTER_MS };
}
