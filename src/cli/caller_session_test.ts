import { test } from "node:test";
import type { Outcome } from "../model/mod.ts";
import type { FakeAnswer } from "./testing/fake_instance.ts";
import { problemAnswer } from "./testing/problem.ts";
import { checkSession } from "./testing/session.ts";

const ID = "5c0e7a21d94b36f8";
const ISSUE: FakeAnswer = {
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

function view(call: string, outcome: Outcome, state = "queued"): FakeAnswer {
  const status = outcome.kind === "notKnownYet" ? 202 : 200;
  const tasks = [{ index: 0, state, worker: "kigali-w3", attempt: 1 }];
  const body = { id: ID, outcome, tasks };
  return { call, status, body };
}

function submitted(outcome: Outcome, waitMs = 10_000): FakeAnswer {
  return view(`PUT /v1/requests/${ID}?waitMs=${waitMs}`, outcome);
}

test("session: a proof is submitted and runs", () =>
  checkSession({
    name: "submit_ran",
    answers: [ISSUE, submitted(RAN)],
    lines: [
      `submit --agreement order-desk --work proof --payload '{"card":7}'`,
      "submit --agreement order-desk --work proof --json",
    ],
  }));

test("session: a task of a run fails", () =>
  checkSession({
    name: "submit_failed",
    answers: [
      ISSUE,
      submitted({
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

test("session: a submission waits longer than one call", () =>
  checkSession({
    name: "submit_waits",
    answers: [
      ISSUE,
      submitted(QUEUED, 20_000),
      view(`GET /v1/requests/${ID}?waitMs=20000`, QUEUED),
      view(`GET /v1/requests/${ID}?waitMs=5000`, RAN),
      submitted(QUEUED, 0),
    ],
    lines: [
      "submit --agreement order-desk --work proof --wait-ms 45000",
      "submit --agreement order-desk --work proof --wait-ms 0",
    ],
  }));

test("session: a submission does not run, and says so", () =>
  checkSession({
    name: "submit_did_not_run",
    answers: [
      ISSUE,
      submitted({
        kind: "didNotRun",
        code: 4002,
        cause: "The start deadline passed; nothing was run.",
      }),
      problemAnswer(
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

test("session: the answer to a submission is lost", () =>
  checkSession({
    name: "submit_lost_answer",
    answers: [
      ISSUE,
      { call: `PUT /v1/requests/${ID}?waitMs=10000`, status: 0 },
      submitted(RAN),
      { call: "POST /v1/requests?waitMs=10000", status: 0 },
      view("POST /v1/requests?waitMs=10000", RAN),
    ],
    lines: [
      "submit --agreement funeral-homes --work memorial-run",
      `submit --agreement funeral-homes --work memorial-run --id ${ID}`,
      "submit --agreement funeral-homes --work memorial-run --key run-12",
      "submit --agreement funeral-homes --work memorial-run --key run-12",
    ],
  }));

test("session: a request is read and cancelled", () =>
  checkSession({
    name: "read_cancel",
    answers: [
      view(`GET /v1/requests/${ID}?waitMs=0`, QUEUED),
      view(`GET /v1/requests/${ID}?waitMs=0`, {
        kind: "notKnownYet",
        state: "unreachable",
        cause: "The owner of the domain cannot be reached; it may have run.",
        retryAfterMs: 2000,
      }, "unreachable"),
      view(`GET /v1/requests/${ID}?waitMs=500`, RAN),
      view(`DELETE /v1/requests/${ID}`, QUEUED, "running"),
      problemAnswer(
        "GET /v1/requests/x?waitMs=0",
        404,
        3007,
        "The request id is not one of yours.",
        false,
      ),
      problemAnswer(
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
  checkSession({
    name: "requests",
    answers: [{
      call: "GET /v1/requests",
      status: 200,
      body: {
        requests: [view("", RAN), view("", QUEUED)].map(({ body }) => body),
      },
    }],
    lines: ["requests", "requests --json"],
  }));

test("session: an owner that cannot be reached is asked again", () =>
  checkSession({
    name: "read_unreachable",
    answers: [20_000, 5_000].map((waitMs) =>
      view(`GET /v1/requests/${ID}?waitMs=${waitMs}`, {
        kind: "notKnownYet",
        state: "unreachable",
        cause: "No owner of the domain answers.",
        retryAfterMs: 0,
      }, "unreachable")
    ),
    lines: [`read ${ID} --wait-ms 25000`],
  }));
