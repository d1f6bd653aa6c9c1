/**
 * The HTTP route for callers: issue request ids; submit, read, list and cancel
 * requests.
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
import type { ApiResponse } from "./api_response.ts";
import {
  deriveRequestId,
  generateRequestId,
  isRequestId,
} from "./request_ids.ts";

const OK = 200;
const CREATED = 201;
const ACCEPTED = 202;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;
const MAX_IDEMPOTENCY_KEY_LENGTH = 200;

/** Creates the route for callers, below `/v1/requests`. */
export function createCallerRoute(host: ApiHost): Route {
  return (call) => {
    const [version, collection, id, ...rest] = call.path;
    if (version !== "v1" || collection !== "requests") return undefined;
    if (rest.length > 0) return undefined;
    const customer = authenticateCustomer(call, host.credentials);
    return id === undefined
      ? handleCollection(host, call, customer)
      : handleRequest(host, call, customer, id);
  };
}

async function handleCollection(
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
        return { status: CREATED, body: { id: generateRequestId() } };
      }
      const submission = parseSubmission(await call.body());
      const id = deriveRequestId(customer, checkIdempotencyKey(String(key)));
      const waitMs = parseWaitMs(call);
      return toHttpResponse(
        await host.submit(customer, id, submission, waitMs),
      );
    }
    default:
      return methodNotAllowed(call);
  }
}

async function handleRequest(
  host: ApiHost,
  call: RouteCall,
  customer: string,
  id: string,
): Promise<HttpResponse> {
  if (!isRequestId(id)) {
    return refusal(NOT_FOUND, diagnostics.requestIdInvalid);
  }
  const waitMs = parseWaitMs(call);
  switch (call.method) {
    case "GET":
      return toHttpResponse(await host.read(customer, id, waitMs));
    case "PUT": {
      const submission = parseSubmission(await call.body());
      return toHttpResponse(
        await host.submit(customer, id, submission, waitMs),
      );
    }
    case "DELETE":
      return toHttpResponse(await host.cancel(customer, id));
    default:
      return methodNotAllowed(call);
  }
}

/** Converts an API response to an HTTP response. */
export function toHttpResponse(response: ApiResponse): HttpResponse {
  switch (response.kind) {
    case "published":
      return { status: OK, body: { version: response.version } };
    case "lines":
      return { status: OK, body: { lines: response.lines } };
    case "view":
      return { status: statusOfView(response.view), body: response.view };
    case "problem": {
      const { status, code, detail, ran, retryAfterMs } = response;
      return problemDocument(status, code, detail, { ran, retryAfterMs });
    }
  }
}

function statusOfView(view: RequestView): number {
  return view.outcome.kind === "notKnownYet" ? ACCEPTED : OK;
}

function parseSubmission(body: unknown): Submission {
  const parsed = v.safeParse(submissionSchema, body);
  if (parsed.success) return parsed.output;
  const issue = parsed.issues[0];
  const path = v.getDotPath(issue) ?? "the body";
  const message = diagnostics.submissionInvalid;
  throw new RefusedCall(refusal(BAD_REQUEST, message, path, issue.message));
}

function checkIdempotencyKey(key: string): string {
  if (key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH) return key;
  const message = diagnostics.submissionInvalid;
  const cause = `it must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
  throw new RefusedCall(
    refusal(BAD_REQUEST, message, "Idempotency-Key", cause),
  );
}

function parseWaitMs(call: RouteCall): number {
  const waitMs = Number(call.query.get("waitMs") ?? 0);
  if (Number.isFinite(waitMs) && waitMs >= 0) return waitMs;
  const message = diagnostics.submissionInvalid;
  throw new RefusedCall(
    refusal(BAD_REQUEST, message, "waitMs", "it must be a number from 0"),
  );
}

function methodNotAllowed(call: RouteCall): HttpResponse {
  const message = diagnostics.methodNotAllowed;
  const path = call.path.join("/");
  return refusal(METHOD_NOT_ALLOWED, message, call.method, `/${path}`);
}
