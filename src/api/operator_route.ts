/**
 * The HTTP route for operators.
 *
 * @module
 */
import * as v from "valibot";
import { parseMonth } from "../account/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  checkManifest,
  formatManifestFaults,
  NO_VERSION,
} from "../manifest/mod.ts";
import {
  authenticateOperator,
  type HttpResponse,
  problemDocument,
  refusal,
  type Route,
  type RouteCall,
} from "../server/mod.ts";
import type { ApiHost } from "./api_host.ts";
import { toHttpResponse } from "./caller_route.ts";
import { placementQuestionSchema } from "./placement_question.ts";

const OK = 200;
const ACCEPTED = 202;
const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

const publicationSchema = v.strictObject({
  changeId: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  baseVersion: v.pipe(v.number(), v.integer(), v.minValue(-1)),
  author: v.optional(v.string()),
  manifest: v.unknown(),
});

/** Creates the route for operators, below `/v1/operator`. */
export function createOperatorRoute(host: ApiHost): Route {
  return (call) => {
    const [version, area, ...rest] = call.path;
    if (version !== "v1" || area !== "operator") return undefined;
    const operator = authenticateOperator(call, host.credentials);
    return handleCall(host, call, operator, `${call.method} ${rest[0]}`, rest);
  };
}

async function handleCall(
  host: ApiHost,
  call: RouteCall,
  operator: string,
  endpoint: string,
  path: string[],
): Promise<HttpResponse | undefined> {
  switch (endpoint) {
    case "GET status":
      return { status: OK, body: await host.status() };
    case "GET workers":
      return { status: OK, body: { workers: await host.workers() } };
    case "GET tasks":
      return { status: OK, body: { tasks: await host.tasks() } };
    case "GET explain": {
      const id = path[1] ?? "";
      return { status: OK, body: { id, lines: await host.explain(id) } };
    }
    case "POST where":
      return await handlePlacementQuestion(host, call);
    case "GET manifest":
      return path[1] === "history"
        ? await handleHistory(host)
        : { status: OK, body: host.manifest() ?? { version: NO_VERSION } };
    case "POST manifest":
      return await handlePublish(host, call, operator);
    case "GET account":
      return await handleAccount(host, call);
    case "GET timeline": {
      const after = Number(call.query.get("after") ?? 0);
      return { status: OK, body: host.timeLine(after) };
    }
    case "POST drain":
      host.stop();
      return { status: ACCEPTED, body: { draining: true } };
    default:
      return undefined;
  }
}

async function handleHistory(host: ApiHost): Promise<HttpResponse> {
  const versions = await host.history();
  if (versions !== undefined) return { status: OK, body: { versions } };
  const reason = "the store does not answer";
  return refusal(SERVICE_UNAVAILABLE, diagnostics.instanceNotReady, reason);
}

async function handlePublish(
  host: ApiHost,
  call: RouteCall,
  operator: string,
): Promise<HttpResponse> {
  const parsed = v.safeParse(publicationSchema, await call.body());
  if (!parsed.success) {
    const issue = parsed.issues[0];
    const path = v.getDotPath(issue) ?? "the body";
    const message = diagnostics.manifestInvalid;
    return refusal(BAD_REQUEST, message, path, issue.message);
  }
  const { author = operator, changeId, baseVersion } = parsed.output;
  const manifest = checkManifest(parsed.output.manifest);
  if (manifest.isErr()) {
    const detail = formatManifestFaults(manifest.error);
    return problemDocument(
      BAD_REQUEST,
      diagnostics.manifestInvalid.code,
      detail,
    );
  }
  return toHttpResponse(
    await host.publish({
      author,
      changeId,
      baseVersion,
      manifest: manifest.value,
    }),
  );
}

async function handlePlacementQuestion(
  host: ApiHost,
  call: RouteCall,
): Promise<HttpResponse> {
  const parsed = v.safeParse(placementQuestionSchema, await call.body());
  if (!parsed.success) {
    const [issue] = parsed.issues;
    const path = v.getDotPath(issue) ?? "the body";
    const message = diagnostics.submissionInvalid;
    return refusal(BAD_REQUEST, message, path, issue.message);
  }
  return toHttpResponse(await host.where(parsed.output));
}

async function handleAccount(
  host: ApiHost,
  call: RouteCall,
): Promise<HttpResponse> {
  const month = parseMonth(call.query.get("month") ?? "");
  if (month === undefined) {
    const message = diagnostics.submissionInvalid;
    return refusal(BAD_REQUEST, message, "month", "it must be YYYY-MM");
  }
  return { status: OK, body: await host.account(month) };
}
