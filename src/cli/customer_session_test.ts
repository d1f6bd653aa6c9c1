import { test } from "node:test";
import type { Outcome } from "../model/mod.ts";
import type { FakeResponse } from "./testing/fake_instance.ts";
import { fakeProblemResponse } from "./testing/fake_problem_response.ts";
import { assertSessionTranscript } from "./testing/session.ts";

const ID = "5c0e7a21d94b36f8";
const ISSUE: FakeResponse = {
  call: "POST /v1/requests",
  status: 201,
  body: { id: ID },
};
const QUEUED: Outcome = {
  kind: "notKnownYet",
  state: "queued",
  cause: "The request waits to start.",
  retryAfterMs: 1000,
};
const RAN: Outcome = {
  kind: "ran",
  tasks: [{
    kind: "finished",
    index: 0,
    attempt: 1,
  }],
};

function viewResponse(
  call: string,
  outcome: Outcome,
  state = "queued",
): FakeResponse {
  const status = outcome.kind === "notKnownYet" ? 202 : 200;
  const tasks = [{ index: 0, state, worker: "kigali-w3", attempt: 1 }];
  const body = { id: ID, outcome, tasks };
  return { call, status, body };
}

function submitResponse(outcome: Outcome, waitMs = 10_000): FakeResponse {
  return viewResponse(`PUT /v1/requests/${ID}?waitMs=${waitMs}`, outcome);
}

test("session: a submitted request runs", () =>
  assertSessionTranscript({
    name: "submit_ran",
    responses: [ISSUE, submitResponse(RAN)],
    lines: [
      `submit --agreement order-desk --work proof --payload '{"card":7}'`,
      "submit --agreement order-desk --work proof --json",
    ],
  }));

test("session: tasks of a request fail, are stopped or do not run", () =>
  assertSessionTranscript({
    name: "submit_failed",
    responses: [
      ISSUE,
      submitResponse({
        kind: "ran",
        tasks: [
          ...RAN.kind === "ran" ? RAN.tasks : [],
          {
            kind: "failed",
            index: 1,
            attempt: 2,
            cause: "Failed 2 times.",
          },
          {
            kind: "stopped",
            index: 2,
            attempt: 1,
            cause: "Stopped, or lost with its worker.",
          },
          {
            kind: "didNotRun",
            index: 3,
            cause: "The start deadline passed; nothing was run.",
          },
        ],
      }),
    ],
    lines: [
      "submit --agreement funeral-homes --work memorial-run --tasks 4",
    ],
  }));

test("session: a long wait for a submission is split into several calls", () =>
  assertSessionTranscript({
    name: "submit_waits",
    responses: [
      ISSUE,
      submitResponse(QUEUED, 20_000),
      viewResponse(`GET /v1/requests/${ID}?waitMs=20000`, QUEUED),
      viewResponse(`GET /v1/requests/${ID}?waitMs=5000`, RAN),
      submitResponse(QUEUED, 0),
    ],
    lines: [
      "submit --agreement order-desk --work proof --wait-ms 45000",
      "submit --agreement order-desk --work proof --wait-ms 0",
    ],
  }));

test("session: reports that a submission did not run", () =>
  assertSessionTranscript({
    name: "submit_did_not_run",
    responses: [
      ISSUE,
      submitResponse({
        kind: "didNotRun",
        code: 4002,
        cause: "The start deadline passed; nothing was run.",
      }),
      fakeProblemResponse(
        `PUT /v1/requests/${ID}?waitMs=0`,
        503,
        3017,
        "The request was not stored: no owner answers; this call ran nothing.",
        false,
      ),
    ],
    lines: [
      "submit --agreement order-desk --work proof --deadline-ms 500",
      "submit --agreement order-desk --work proof --wait-ms 0",
      "submit --agreement order-desk --work proof --wait-ms 0 --json",
    ],
  }));

test("session: a submission whose response is lost is retried by id or key", () =>
  assertSessionTranscript({
    name: "submit_lost_answer",
    responses: [
      ISSUE,
      { call: `PUT /v1/requests/${ID}?waitMs=10000`, status: 0 },
      submitResponse(RAN),
      { call: "POST /v1/requests?waitMs=10000", status: 0 },
      viewResponse("POST /v1/requests?waitMs=10000", RAN),
    ],
    lines: [
      "submit --agreement funeral-homes --work memorial-run",
      `submit --agreement funeral-homes --work memorial-run --id ${ID}`,
      "submit --agreement funeral-homes --work memorial-run --key run-12",
      "submit --agreement funeral-homes --work memorial-run --key run-12",
    ],
  }));

test("session: a request is read and cancelled", () =>
  assertSessionTranscript({
    name: "read_cancel",
    responses: [
      viewResponse(`GET /v1/requests/${ID}?waitMs=0`, QUEUED),
      viewResponse(`GET /v1/requests/${ID}?waitMs=0`, {
        kind: "notKnownYet",
        state: "unreachable",
        cause: "The owner of the domain cannot be reached; it may have run.",
        retryAfterMs: 2000,
      }, "unreachable"),
      viewResponse(`GET /v1/requests/${ID}?waitMs=500`, RAN),
      viewResponse(`DELETE /v1/requests/${ID}`, QUEUED, "running"),
      fakeProblemResponse(
        "GET /v1/requests/x?waitMs=0",
        404,
        3007,
        "The request id is not one of yours.",
        false,
      ),
      fakeProblemResponse(
        "DELETE /v1/requests/..%2Fx",
        404,
        3007,
        "The request id is not one of yours.",
        false,
      ),
    ],
    lines: [
      `read ${ID}`,
      `read ${ID}`,
      `read ${ID} --wait-ms 500 --json`,
      `cancel ${ID}`,
      "read x",
      "cancel ../x",
    ],
  }));

test("session: a customer lists its requests", () =>
  assertSessionTranscript({
    name: "requests",
    responses: [{
      call: "GET /v1/requests",
      status: 200,
      body: {
        requests: [viewResponse("", RAN), viewResponse("", QUEUED)].map((
          { body },
        ) => body),
      },
    }],
    lines: ["requests", "requests --json"],
  }));

test("session: a request with an unreachable owner is polled until the wait ends", () =>
  assertSessionTranscript({
    name: "read_unreachable",
    responses: [20_000, 5_000].map((waitMs) =>
      viewResponse(`GET /v1/requests/${ID}?waitMs=${waitMs}`, {
        kind: "notKnownYet",
        state: "unreachable",
        cause: "No owner of the domain answers.",
        retryAfterMs: 0,
      }, "unreachable")
    ),
    lines: [`read ${ID} --wait-ms 25000`],
  }));
