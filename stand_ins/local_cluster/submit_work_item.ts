import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import {
  type Outcome,
  outcomeSchema,
  type Submission,
} from "../../src/model/mod.ts";
import type { JsonClient, Reply } from "./json_client.ts";

const OUTCOME_WAIT_MS = 2_000;
const RETRY_DELAY_MS = 100;
const CREATED = 201;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

const issuedSchema = v.object({ id: v.string() });
const viewSchema = v.object({ id: v.string(), outcome: outcomeSchema });

/** Work that a caller wants to have done exactly once. */
export type WorkItem = {
  /** Name of the work item in reports. */
  key: string;
  /** Bearer token of the customer. */
  token: string;
  submission: Submission;
};

/** The result of a work item as reported to its caller. */
export type WorkItemResult = {
  workItem: WorkItem;
  /** Request ids used, in order; the outcome belongs to the last one. */
  requestIds: string[];
  /** The final outcome; undefined if there was none before the timeout. */
  outcome: Outcome | undefined;
  /** The last reply of any kind as JSON, for reports. */
  lastReply: string;
  /** Every 4xx response; none is expected, as the requests are valid. */
  clientErrors: string[];
  /** Every failed call that may have reached the instance. */
  connectionFailures: string[];
  /** Result of resubmitting the tasks that were reported as not run. */
  resubmission?: WorkItemResult;
};

/** Options for `submitWorkItem`. */
export type SubmitOptions = {
  api: JsonClient;
  /** Base URLs of the entry instances that callers may use at present. */
  urls(): string[];
  /** Time limit for a final outcome, in milliseconds. */
  timeoutMs: number;
};

/**
 * Submits a work item as a correct caller does: retries with the same request
 * id, at any instance, until the outcome is final, and uses a new id only
 * after a report that nothing ran. If only some of the tasks ran, the others
 * are resubmitted as a work item of their own.
 *
 * @param firstInstance index of the instance to try first
 */
export async function submitWorkItem(
  options: SubmitOptions,
  workItem: WorkItem,
  firstInstance: number,
): Promise<WorkItemResult> {
  const result: WorkItemResult = {
    workItem,
    requestIds: [],
    outcome: undefined,
    lastReply: "none",
    clientErrors: [],
    connectionFailures: [],
  };
  const deadlineMs = performance.now() + options.timeoutMs;
  let instanceIndex = firstInstance;
  let id: string | undefined;
  while (performance.now() < deadlineMs) {
    const urls = options.urls();
    const url = urls[instanceIndex % urls.length]!;
    if (id === undefined) {
      id = await issueRequestId(options.api, url, workItem, result);
      if (id !== undefined) result.requestIds.push(id);
    }
    const outcome = id === undefined
      ? undefined
      : await submitOnce(options.api, url, workItem, id, result);
    if (outcome?.kind === "ran") {
      const remaining = buildRemainingWorkItem(workItem, outcome);
      if (remaining === undefined) return { ...result, outcome };
      const timeoutMs = deadlineMs - performance.now();
      const remainingOptions = { ...options, timeoutMs };
      const resubmission = await submitWorkItem(
        remainingOptions,
        remaining,
        instanceIndex + 1,
      );
      return { ...result, outcome, resubmission };
    }
    if (outcome?.kind === "didNotRun") id = undefined;
    if (outcome?.kind !== "notKnownYet") instanceIndex += 1;
    if (outcome === undefined) await delay(RETRY_DELAY_MS);
  }
  return result;
}

/** Builds a work item from the tasks that were reported as not run, if any. */
function buildRemainingWorkItem(
  workItem: WorkItem,
  outcome: Extract<Outcome, { kind: "ran" }>,
): WorkItem | undefined {
  const notRun = outcome.tasks.filter((task) => task.kind === "didNotRun");
  if (notRun.length === 0) return undefined;
  const tasks = notRun.map((task) => workItem.submission.tasks[task.index]!);
  const submission = { ...workItem.submission, tasks };
  return { ...workItem, key: `${workItem.key} again`, submission };
}

async function issueRequestId(
  api: JsonClient,
  url: string,
  workItem: WorkItem,
  result: WorkItemResult,
): Promise<string | undefined> {
  const reply = await api.call("POST", `${url}/v1/requests`, {
    token: workItem.token,
  });
  recordReply(result, reply);
  if (reply.kind === "failed" || reply.status !== CREATED) return undefined;
  return v.parse(issuedSchema, reply.body).id;
}

async function submitOnce(
  api: JsonClient,
  url: string,
  workItem: WorkItem,
  id: string,
  result: WorkItemResult,
): Promise<Outcome | undefined> {
  const path = `${url}/v1/requests/${id}?waitMs=${OUTCOME_WAIT_MS}`;
  const { token, submission: body } = workItem;
  const reply = await api.call("PUT", path, { token, body });
  recordReply(result, reply);
  if (reply.kind === "failed" || reply.status >= FIRST_CLIENT_ERROR) {
    return undefined;
  }
  return v.parse(viewSchema, reply.body).outcome;
}

/** Records a reply in the result, including 4xx responses and failures. */
function recordReply(result: WorkItemResult, reply: Reply): void {
  result.lastReply = JSON.stringify(reply);
  if (reply.kind === "failed") {
    if (!reply.unsent) result.connectionFailures.push(reply.cause);
    return;
  }
  const { status } = reply;
  if (status < FIRST_CLIENT_ERROR || status >= FIRST_SERVER_ERROR) return;
  result.clientErrors.push(`${status} ${JSON.stringify(reply.body)}`);
}
