import { test } from "node:test";
import { assertSessionTranscript } from "./testing/session.ts";
import { fakeProblemResponse } from "./testing/fake_problem_response.ts";

const STEPS = JSON.stringify([{
  taskCount: 2,
  demand: { cpuMillis: 1_000, memoryMb: 500, accelerators: 0 },
  estimateMs: 900,
  after: [],
  gang: false,
  colocated: false,
  longRunning: false,
  opportunistic: false,
  checkpointed: false,
}]);
const LINES = [
  "queue proofs of service desk; nothing was submitted",
  "2 of its tasks would start on kigali-w1",
];

test("session: an operator asks where work would go", () =>
  assertSessionTranscript({
    name: "where",
    responses: [{
      call: "POST /v1/operator/where",
      status: 200,
      body: { lines: LINES },
    }],
    input: STEPS,
    lines: [
      "where --queue proofs --account parish-7 --file -",
      "where --agreement order-desk --work proof --tasks 2 --json",
      "where --queue proofs",
      "where --account parish-7 --agreement order-desk --work proof",
    ],
  }));

test("session: an operator asks about a queue that does not exist", () =>
  assertSessionTranscript({
    name: "where_refused",
    responses: [
      fakeProblemResponse(
        "POST /v1/operator/where",
        422,
        3018,
        'No queue is named "prints".',
      ),
    ],
    input: STEPS,
    lines: ["where --queue prints --file -"],
  }));
