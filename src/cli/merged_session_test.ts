import { test } from "node:test";
import type { FakeAnswer } from "./testing/fake_instance.ts";
import { checkSession } from "./testing/session.ts";

const HUYE_URL = "http://127.0.0.1:8002";
const CLUSTER: FakeAnswer = {
  call: "GET /v1/operator/status",
  status: 200,
  body: {
    instance: "kigali-1",
    incarnation: "i4",
    zone: "kigali",
    url: "http://127.0.0.1:8001",
    ready: true,
    version: 41,
    barred: [],
    workers: 2,
    queued: 1,
    running: 2,
    logReachable: true,
    leaving: false,
    members: [
      memberOf("huye-1", "i9", HUYE_URL, 41),
      memberOf("musanze-1", "i2", "http://127.0.0.1:1", 40),
    ],
  },
};
const PROOF = {
  id: "kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa/0",
  customer: "order-desk",
  agreement: "order-desk",
  work: "proof",
};
/** Its home is the instance musanze-1, which does not answer. */
const ORPHAN = { ...PROOF, id: "musanze.musanze-1.i2.3.9vTg5Hb1k8Qw2xYb/0" };
/** Its home knows better than the guest, whose row is an old one. */
const RETURNED = { ...PROOF, id: "kigali.kigali-1.i4.18.Zw8Kq2xYb1m0v3Hb/0" };

test("session: what all instances say is merged", () =>
  checkSession({
    name: "operator_merged",
    answers: [
      CLUSTER,
      workersAnswer([
        workerRow("kigali-w1", "leaving", 7),
        workerRow("kigali-w2", "held", 4),
        workerRow("kigali-w3", "elsewhere"),
      ]),
      tasksAnswer([
        { ...PROOF, state: "moved", waitedMs: 95 },
        { ...RETURNED, state: "queued", waitedMs: 40 },
      ]),
    ],
    peers: {
      [HUYE_URL]: [
        workersAnswer([
          workerRow("huye-w1", "silent", 2),
          workerRow("kigali-w1", "elsewhere"),
          workerRow("kigali-w2", "held", 5),
          workerRow("kigali-w3", "elsewhere"),
        ]),
        tasksAnswer([
          { ...PROOF, state: "running", worker: "huye-w1", waitedMs: 91 },
          { ...RETURNED, state: "running", worker: "huye-w1", waitedMs: 41 },
          { ...ORPHAN, state: "running", worker: "huye-w1", waitedMs: 900 },
        ]),
      ],
    },
    lines: [
      "status",
      "workers",
      "workers --json",
      "tasks",
      "tasks --state running --json",
    ],
  }));

function memberOf(id: string, incarnation: string, url: string, at: number) {
  const [zone = ""] = id.split("-");
  return { id, incarnation, zone, url, state: "live", version: at };
}

function workersAnswer(workers: object[]): FakeAnswer {
  return { call: "GET /v1/operator/workers", status: 200, body: { workers } };
}

function tasksAnswer(tasks: object[]): FakeAnswer {
  return { call: "GET /v1/operator/tasks", status: 200, body: { tasks } };
}

function workerRow(id: string, state: string, token?: number): object {
  const [zone = ""] = id.split("-");
  const row = { id, zone, rack: "r1", state, tasks: 0 };
  if (token === undefined) return row;
  const used = { cpuMillis: 1000, memoryMb: 2048, accelerators: 0 };
  const capacity = { cpuMillis: 8000, memoryMb: 16384, accelerators: 0 };
  return { ...row, token, tasks: 1, used, capacity };
}
