import { test } from "node:test";
import type { FakeResponse } from "./testing/fake_instance.ts";
import { assertSessionTranscript } from "./testing/session.ts";
import { fakeStatusResponse } from "./testing/fake_status_response.ts";

const HUYE_URL = "http://127.0.0.1:8002";
const KIGALI = fakeStatusResponse({
  members: [
    { address: "10.2.0.11:8003", url: HUYE_URL },
    { address: "10.3.0.11:8003", url: "http://127.0.0.1:1" },
  ],
  domains: [domainOf(0, 4)],
});
const HUYE = fakeStatusResponse({
  instance: "huye-1",
  incarnation: "i9",
  zone: "huye",
  url: HUYE_URL,
  version: 40,
  domains: [domainOf(1, 9), domainOf(0, 5)],
});
const PROOF = {
  id: "5c0e7a21d94b36f8.0.0.0",
  customer: "order-desk",
  queue: "order-desk/proof",
};
/** Both instances list this task: its domain just moved to a new owner. */
const LISTED_TWICE = { ...PROOF, id: "5c0e7a21d94b36f9.0.0.0" };

test("session: merges the status, workers and tasks of all instances", () =>
  assertSessionTranscript({
    name: "operator_merged",
    responses: [
      KIGALI,
      workersResponse([
        workerRow("kigali-w1", "leaving", 4),
        workerRow("kigali-w2", "held", 4),
      ]),
      tasksResponse([
        { ...PROOF, state: "running", worker: "kigali-w1", waitedMs: 95 },
        { ...LISTED_TWICE, state: "queued", waitedMs: 40 },
      ]),
    ],
    peers: {
      [HUYE_URL]: [
        HUYE,
        workersResponse([
          workerRow("huye-w1", "silent", 9),
          workerRow("kigali-w2", "silent", 5),
        ]),
        tasksResponse([
          {
            ...LISTED_TWICE,
            state: "running",
            worker: "huye-w1",
            waitedMs: 41,
          },
        ]),
      ],
    },
    lines: [
      "status",
      "status --json",
      "workers",
      "workers --json",
      "tasks",
      "tasks --state running --json",
    ],
  }));

function domainOf(partition: number, epoch: number) {
  return {
    partition,
    epoch,
    jobs: 2,
    queued: 1,
    running: 2,
    workers: 2,
    storeSilentMs: 0,
  };
}

function workersResponse(workers: object[]): FakeResponse {
  return { call: "GET /v1/operator/workers", status: 200, body: { workers } };
}

function tasksResponse(tasks: object[]): FakeResponse {
  return { call: "GET /v1/operator/tasks", status: 200, body: { tasks } };
}

function workerRow(id: string, state: string, epoch: number): object {
  const [zone = ""] = id.split("-");
  const used = { cpuMillis: 1000, memoryMb: 2048, accelerators: 0 };
  const capacity = { cpuMillis: 8000, memoryMb: 16384, accelerators: 0 };
  return { id, zone, rack: "r1", state, epoch, tasks: 1, used, capacity };
}
