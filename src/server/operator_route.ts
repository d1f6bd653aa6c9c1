/**
 * The interface for operators, below `/v1/operator`.
 *
 * @module
 */
import * as v from "valibot";
import { buildAccount, type Month, parseMonth } from "../account/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  explainRequest,
  statusOf,
  tasksOf,
  workersOf,
} from "../instance/mod.ts";
import { checkManifest, formatManifestFaults } from "../manifest/mod.ts";
import { eventsAfter } from "../time_line/mod.ts";
import { operatorOf } from "./authentication.ts";
import { type CallerRouteHost, toHttp } from "./caller_route.ts";
import type { HttpAnswer } from "./http_answer.ts";
import { problemDocument, refusal } from "./problem_document.ts";
import type { Route, RouteCall } from "./route.ts";

const OK = 200;
const ACCEPTED = 202;
const MALFORMED = 400;

/** What the interface for operators needs. */
export type OperatorRouteHost = CallerRouteHost & {
  /** Begins the planned stop of the process. */
  stop(): void;
};

const publicationSchema = v.strictObject({
  changeId: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  baseVersion: v.pipe(v.number(), v.integer(), v.minValue(-1)),
  author: v.optional(v.string()),
  manifest: v.unknown(),
});

/** Creates the route for operators. */
export function createOperatorRoute(host: OperatorRouteHost): Route {
  return (call) => {
    const [version, area, ...rest] = call.path;
    if (version !== "v1" || area !== "operator") return undefined;
    const operator = operatorOf(call, host.credentials);
    return answer(host, call, operator, `${call.method} ${rest[0]}`, rest);
  };
}

function answer(
  host: OperatorRouteHost,
  call: RouteCall,
  operator: string,
  name: string,
  path: string[],
): Promise<HttpAnswer> | HttpAnswer | undefined {
  const { scheduler } = host;
  switch (name) {
    case "GET status":
      return { status: OK, body: statusOf(scheduler) };
    case "GET workers":
      return { status: OK, body: { workers: workersOf(scheduler) } };
    case "GET tasks":
      return { status: OK, body: { tasks: tasksOf(scheduler) } };
    case "GET explain": {
      const id = path[1] ?? "";
      const lines = explainRequest(scheduler, id);
      return { status: OK, body: { id, lines } };
    }
    case "GET manifest":
      return { status: OK, body: manifestView(host, path[1] === "history") };
    case "POST manifest":
      return publish(host, call, operator);
    case "GET account":
      return accountView(host, call);
    case "GET timeline": {
      const after = Number(call.query.get("after") ?? 0);
      return { status: OK, body: eventsAfter(scheduler.timeLine, after) };
    }
    case "POST drain":
      host.stop();
      return { status: ACCEPTED, body: { draining: true } };
    default:
      return undefined;
  }
}

function manifestView(host: OperatorRouteHost, isHistory: boolean): unknown {
  const { log } = host.scheduler;
  if (isHistory) return { versions: log.history };
  const { version, inForce } = log;
  return inForce === undefined ? { version } : { version, ...inForce };
}

async function publish(
  host: OperatorRouteHost,
  call: RouteCall,
  operator: string,
): Promise<HttpAnswer> {
  const parsed = v.safeParse(publicationSchema, await call.body());
  if (!parsed.success) {
    const issue = parsed.issues[0];
    const path = v.getDotPath(issue) ?? "the body";
    const message = diagnostics.manifestInvalid;
    return refusal(MALFORMED, message, path, issue.message);
  }
  const { author = operator, changeId, baseVersion } = parsed.output;
  const manifest = checkManifest(parsed.output.manifest);
  if (manifest.isErr()) {
    const detail = formatManifestFaults(manifest.error);
    return problemDocument(MALFORMED, diagnostics.manifestInvalid.code, detail);
  }
  return toHttp(
    await host.call({
      kind: "publish",
      author,
      changeId,
      baseVersion,
      manifest: manifest.value,
    }),
  );
}

function accountView(host: OperatorRouteHost, call: RouteCall): HttpAnswer {
  const text = call.query.get("month") ?? "";
  const month: Month | undefined = parseMonth(text);
  if (month === undefined) {
    const message = diagnostics.submissionInvalid;
    return refusal(MALFORMED, message, "month", "it must be YYYY-MM");
  }
  const { log } = host.scheduler;
  return { status: OK, body: buildAccount(log, month) };
}
