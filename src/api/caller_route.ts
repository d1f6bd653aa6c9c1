/**
 * The interface for callers: issue, submit, read, cancel.
 *
 * @module
 */
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  type RequestView,
  type Submission,
  submissionSchema,
} from "../model/mod.ts";
import {
  authenticateCustomer,
  type HttpResponse,
  problemDocument,
  refusal,
  RefusedCall,
  type Route,
  type RouteCall,
} from "../server/mod.ts";
import type { ApiHost } from "./api_host.ts";
import type { CallAnswer } from "./call_answer.ts";
import { isRequestId, issueRequestId, requestIdOfKey } from "./request_ids.ts";

const OK = 200;
const CREATED = 201;
const ACCEPTED = 202;
const MALFORMED = 400;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;
const MAX_KEY_LENGTH = 200;

/** Creates the route for callers, below `/v1/requests`. */
export function createCallerRoute(host: ApiHost): Route {
  return (call) => {
    const [version, collection, id, ...rest] = call.path;
    if (version !== "v1" || collection !== "requests") return undefined;
    if (rest.length > 0) return undefined;
    const customer = authenticateCustomer(call, host.credentials);
    return id === undefined
      ? answerCollection(host, call, customer)
      : answerRequest(host, call, customer, id);
  };
}

async function answerCollection(
  host: ApiHost,
  call: RouteCall,
  customer: string,
): Promise<HttpResponse> {
  switch (call.method) {
    case "GET": {
      const requests = await host.list(customer);
      return { status: OK, body: { requests } };
    }
    case "POST": {
      const key = call.headers["idempotency-key"];
      if (key === undefined) {
        return { status: CREATED, body: { id: issueRequestId() } };
      }
      const submission = checkBody(await call.body());
      const id = requestIdOfKey(customer, checkKey(String(key)));
      const waitMs = waitOf(call);
      return toHttp(await host.submit(customer, id, submission, waitMs));
    }
    default:
      return notAllowed(call);
  }
}

async function answerRequest(
  host: ApiHost,
  call: RouteCall,
  customer: string,
  id: string,
): Promise<HttpResponse> {
  if (!isRequestId(id)) {
    return refusal(NOT_FOUND, diagnostics.requestIdInvalid);
  }
  const waitMs = waitOf(call);
  switch (call.method) {
    case "GET":
      return toHttp(await host.read(customer, id, waitMs));
    case "PUT": {
      const submission = checkBody(await call.body());
      return toHttp(await host.submit(customer, id, submission, waitMs));
    }
    case "DELETE":
      return toHttp(await host.cancel(customer, id));
    default:
      return notAllowed(call);
  }
}

/** Turns the answer to a call into an HTTP answer. */
export function toHttp(answer: CallAnswer): HttpResponse {
  switch (answer.kind) {
    case "published":
      return { status: OK, body: { version: answer.version } };
    case "view":
      return { status: statusOf(answer.view), body: answer.view };
    case "problem": {
      const { status, code, detail, ran, retryAfterMs } = answer;
      return problemDocument(status, code, detail, { ran, retryAfterMs });
    }
  }
}

function statusOf(view: RequestView): number {
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

function notAllowed(call: RouteCall): HttpResponse {
  const message = diagnostics.methodNotAllowed;
  const path = call.path.join("/");
  return refusal(METHOD_NOT_ALLOWED, message, call.method, `/${path}`);
}
