/**
 * The interface for callers: issue, submit, read, cancel.
 *
 * @module
 */
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  type Call,
  type CallAnswer,
  listRequests,
  type Scheduler,
  type View,
} from "../instance/mod.ts";
import { type Submission, submissionSchema } from "../model/mod.ts";
import { type Credentials, customerOf } from "./authentication.ts";
import type { HttpAnswer } from "./http_answer.ts";
import { problemDocument, refusal } from "./problem_document.ts";
import { RefusedCall } from "./refused_call.ts";
import type { Route, RouteCall } from "./route.ts";

const OK = 200;
const CREATED = 201;
const ACCEPTED = 202;
const MALFORMED = 400;
const METHOD_NOT_ALLOWED = 405;
const MAX_KEY_LENGTH = 200;

/** What the interface for callers needs. */
export type CallerRouteHost = {
  scheduler: Scheduler;
  credentials: Credentials;
  call(call: Call): Promise<unknown>;
};

/** Creates the route for callers, below `/v1/requests`. */
export function createCallerRoute(host: CallerRouteHost): Route {
  return (call) => {
    const [version, collection, id, ...rest] = call.path;
    if (version !== "v1" || collection !== "requests") return undefined;
    if (rest.length > 0) return undefined;
    const customer = customerOf(call, host.credentials);
    return id === undefined
      ? answerCollection(host, call, customer)
      : answerRequest(host, call, customer, id);
  };
}

async function answerCollection(
  host: CallerRouteHost,
  call: RouteCall,
  customer: string,
): Promise<HttpAnswer> {
  switch (call.method) {
    case "GET": {
      const requests = listRequests(host.scheduler, customer);
      return { status: OK, body: { requests } };
    }
    case "POST": {
      const key = call.headers["idempotency-key"];
      if (key === undefined) {
        return toHttp(await host.call({ kind: "issue", customer }));
      }
      const submission = checkBody(await call.body());
      return toHttp(
        await host.call({
          kind: "submitKeyed",
          customer,
          key: checkKey(String(key)),
          submission,
          waitMs: waitOf(call),
        }),
      );
    }
    default:
      return notAllowed(call);
  }
}

async function answerRequest(
  host: CallerRouteHost,
  call: RouteCall,
  customer: string,
  requestId: string,
): Promise<HttpAnswer> {
  const waitMs = waitOf(call);
  switch (call.method) {
    case "GET":
      return toHttp(
        await host.call({ kind: "read", customer, requestId, waitMs }),
      );
    case "PUT": {
      const submission = checkBody(await call.body());
      return toHttp(
        await host.call({
          kind: "submit",
          customer,
          requestId,
          submission,
          waitMs,
        }),
      );
    }
    case "DELETE":
      return toHttp(await host.call({ kind: "cancel", customer, requestId }));
    default:
      return notAllowed(call);
  }
}

/** Turns the answer to a call into an HTTP answer. */
export function toHttp(value: unknown): HttpAnswer {
  const answer = value as CallAnswer;
  switch (answer.kind) {
    case "issued":
      return { status: CREATED, body: { id: answer.id } };
    case "published":
      return { status: OK, body: { version: answer.version } };
    case "view":
      return { status: statusOf(answer.view), body: answer.view };
    case "problem": {
      const { status, code, detail, ran } = answer;
      return problemDocument(status, code, detail, ran);
    }
  }
}

function statusOf(view: View): number {
  return view.outcome.kind === "notKnownYet" ? ACCEPTED : OK;
}

function checkBody(body: unknown): Submission {
  const parsed = v.safeParse(submissionSchema, body);
  if (parsed.success) return parsed.output;
  const issue = parsed.issues[0];
  const path = v.getDotPath(issue) ?? "the body";
  const message = diagnostics.submissionInvalid;
  throw new RefusedCall(refusal(MALFORMED, message, path, issue.message));
}

function checkKey(key: string): string {
  if (key.length > 0 && key.length <= MAX_KEY_LENGTH) return key;
  const message = diagnostics.submissionInvalid;
  const cause = `it must have 1 to ${MAX_KEY_LENGTH} characters`;
  throw new RefusedCall(
    refusal(MALFORMED, message, "Idempotency-Key", cause),
  );
}

function waitOf(call: RouteCall): number {
  const waitMs = Number(call.query.get("waitMs") ?? 0);
  if (Number.isFinite(waitMs) && waitMs >= 0) return waitMs;
  const message = diagnostics.submissionInvalid;
  throw new RefusedCall(
    refusal(MALFORMED, message, "waitMs", "it must be a number from 0"),
  );
}

function notAllowed(call: RouteCall): HttpAnswer {
  const message = diagnostics.methodNotAllowed;
  const path = call.path.join("/");
  return refusal(METHOD_NOT_ALLOWED, message, call.method, `/${path}`);
}
