import { test } from "node:test";
import type { FakeResponse } from "./testing/fake_instance.ts";
import { fakeProblemResponse } from "./testing/fake_problem_response.ts";
import { assertSessionTranscript } from "./testing/session.ts";
import { fakeStatusResponse } from "./testing/fake_status_response.ts";

const DOMAINS = [
  {
    partition: 0,
    epoch: 7,
    jobs: 11,
    queued: 3,
    running: 12,
    workers: 8,
    storeSilentMs: 0,
  },
  {
    partition: 3,
    epoch: 2,
    jobs: 1,
    queued: 0,
    running: 1,
    workers: 2,
    storeSilentMs: 450,
  },
];
const STATUS = fakeStatusResponse({
  members: [
    { address: "10.2.0.11:8003", url: "http://127.0.0.1:1" },
    { address: "10.3.0.11:8003" },
  ],
  domains: DOMAINS,
});
const STATUS_WITHOUT_PEERS = fakeStatusResponse({ domains: DOMAINS });
const WORKERS: FakeResponse = {
  call: "GET /v1/operator/workers",
  status: 200,
  body: {
    workers: [
      {
        id: "kigali-w1",
        zone: "kigali",
        rack: "r1",
        state: "held",
        epoch: 7,
        tasks: 2,
        used: { cpuMillis: 5500, memoryMb: 20480, accelerators: 1 },
        capacity: { cpuMillis: 128000, memoryMb: 524288, accelerators: 8 },
      },
      {
        id: "kigali-w2",
        zone: "kigali",
        rack: "r1",
        state: "silent",
        epoch: 7,
        tasks: 0,
        used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        capacity: { cpuMillis: 128000, memoryMb: 524288, accelerators: 8 },
      },
    ],
  },
};
const TASKS: FakeResponse = {
  call: "GET /v1/operator/tasks",
  status: 200,
  body: {
    tasks: [
      {
        id: "5c0e7a21d94b36f8.0.0.0",
        customer: "order-desk",
        queue: "order-desk/proof",
        state: "running",
        worker: "kigali-w1",
        waitedMs: 4,
      },
      {
        id: "5c0e7a21d94b36f9.0.0.0",
        customer: "portrait-imaging",
        queue: "portrait-imaging/model-training",
        state: "queued",
        waitedMs: 754000,
      },
    ],
  },
};

test("session: an operator inspects and drains an instance", () =>
  assertSessionTranscript({
    name: "operator",
    responses: [
      STATUS,
      WORKERS,
      TASKS,
      {
        call: "GET /v1/operator/explain/5c0e7a21d94b36f9",
        status: 200,
        body: {
          id: "5c0e7a21d94b36f9",
          lines: [
            "domain 0, owner 10.1.0.11:8003, queue portrait-imaging/model-training",
            "step 0: 1 task waits; of 8 workers, 8 have no room",
          ],
        },
      },
      {
        call: "POST /v1/operator/drain",
        status: 202,
        body: { draining: true },
      },
    ],
    lines: [
      "status",
      "status --json",
      "workers",
      "workers --json",
      "tasks",
      "tasks --customer portrait-imaging --state queued",
      "tasks --state queued --json",
      "explain 5c0e7a21d94b36f9",
      "drain",
    ],
  }));

test("session: reports operator calls that an instance or a gateway rejects", () =>
  assertSessionTranscript({
    name: "operator_refused",
    responses: [
      fakeProblemResponse(
        "GET /v1/operator/status",
        403,
        3016,
        "The token does not allow this.",
        false,
      ),
      STATUS_WITHOUT_PEERS,
      fakeProblemResponse(
        "GET /v1/operator/tasks",
        401,
        3004,
        "The token is missing or not known.",
        false,
      ),
      { call: "GET /v1/operator/workers", status: 502, body: "bad gateway" },
    ],
    environment: { SAMPHIRESTAGE_TOKEN: undefined },
    lines: [
      "status --token sample-token-order-desk",
      "tasks",
      "workers",
    ],
  }));

test("session: shows the account of a month", () =>
  assertSessionTranscript({
    name: "account",
    responses: [{
      call: "GET /v1/operator/account?month=2026-12",
      status: 200,
      body: {
        month: "2026-12",
        asOf: "2026-12-03T10:00:00.000Z",
        closed: false,
        complete: true,
        observedHours: 1530,
        unobservedHours: 102.5,
        days: [
          { day: "2026-12-01", observedHours: 816, unobservedHours: 0 },
          { day: "2026-12-02", observedHours: 714, unobservedHours: 102.5 },
        ],
        rows: [
          {
            customer: "funeral-homes",
            agreement: "funeral-homes",
            resource: "cpuMillis",
            unit: "core-hours",
            used: 30120.5,
            agreed: 30720,
            overuse: 0,
            lent: 599.5,
          },
          {
            customer: "parish-offices",
            agreement: "parish-offices",
            resource: "accelerators",
            unit: "accelerator-hours",
            used: 800,
            agreed: 768,
            overuse: 32,
            lent: 0,
          },
        ],
      },
    }],
    lines: [
      "account --month 2026-12",
      "account --month 2026-12 --csv",
      "account --month 2026-12 --json",
    ],
  }));

const EVENTS: FakeResponse = {
  call: "GET /v1/operator/timeline?after=0",
  status: 200,
  body: {
    events: [
      {
        process: "kigali-1",
        incarnation: "i4",
        lamport: 4,
        atMs: 1796265600250,
        name: "task.started",
        subject: "5c0e7a21d94b36f8.0.0.0",
        detail: "on kigali-w1",
      },
      {
        process: "kigali-1",
        incarnation: "i4",
        lamport: 3,
        atMs: 1796265600246,
        name: "request.accepted",
        subject: "5c0e7a21d94b36f8",
      },
    ],
    last: 4,
  },
};

test("session: merges timelines and reports an instance that does not respond", () =>
  assertSessionTranscript({
    name: "timeline",
    responses: [STATUS, EVENTS],
    lines: [
      "timeline",
      "timeline --instances http://127.0.0.1:1",
      "timeline --json",
    ],
  }));

test("session: shows the manifest version in force on each instance", () =>
  assertSessionTranscript({
    name: "manifest_in_force",
    responses: [STATUS, STATUS, STATUS_WITHOUT_PEERS],
    lines: [
      "manifest in-force",
      "manifest in-force --json",
      "manifest in-force",
    ],
  }));
