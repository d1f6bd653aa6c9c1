/**
 * The answers that refuse a call.
 *
 * @module
 */
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type { Outcome } from "../model/mod.ts";
import { problem } from "./problem.ts";
import type { Scheduler } from "./scheduler.ts";
import type { CallAnswer } from "./view.ts";
import { emptyView } from "./views.ts";

/** When a caller may ask again for what cannot be known now. */
export const RETRY_AFTER_MS = 1_000;

/** Refuses work that this instance cannot take now; nothing was run. */
export function refusalWhenUnready(
  scheduler: Scheduler,
): CallAnswer | undefined {
  if (scheduler.draining) {
    const { code, template } = diagnostics.instanceStopping;
    return problem(503, code, template, false);
  }
  if (scheduler.log.manifest === undefined) {
    return notReady("no manifest is in force");
  }
  return undefined;
}

/** Refuses a call because something is missing; nothing was run. */
export function notReady(cause: string): CallAnswer {
  const message = diagnostics.instanceNotReady;
  return problem(503, message.code, formatDiagnostic(message, cause), false);
}

/** Refuses work for which the queue has no room; nothing was run. */
export function queueFull(): CallAnswer {
  const { code, template } = diagnostics.queueFull;
  return problem(503, code, template, false);
}

/** Refuses an id that was not issued to the customer. */
export function unknownId(): CallAnswer {
  const { code, template } = diagnostics.requestIdInvalid;
  return problem(404, code, template);
}

/** Refuses another submission under a used id or key. */
export function conflict(): CallAnswer {
  const { code, template } = diagnostics.requestConflict;
  return problem(409, code, template);
}

/** Refuses an idempotency key while the log is down. */
export function keyUnavailable(): CallAnswer {
  const { code, template } = diagnostics.keyUnavailable;
  return problem(503, code, template);
}

/** Answers that nobody who can tell can be reached. */
export function unreachable(requestId: string): CallAnswer {
  return { kind: "view", view: emptyView(requestId, notKnown()) };
}

/** The outcome of a request whose settled home never started it. */
export function homeSettled(): Outcome {
  const { code, template } = diagnostics.homeSettled;
  return { kind: "didNotRun", code, cause: template };
}

/** The outcome of a request of which nobody can tell now. */
export function notKnown(): Outcome {
  return {
    kind: "notKnownYet",
    state: "unreachable",
    cause: diagnostics.homeUnreachable.template,
    retryAfterMs: RETRY_AFTER_MS,
  };
}
