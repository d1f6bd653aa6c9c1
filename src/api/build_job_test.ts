import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import * as v from "valibot";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import { manifestSchema, type Submission } from "../model/mod.ts";
import { buildJob } from "./build_job.ts";

const ID = "5c0e7a21d94b36f8";
const MANIFEST = v.parse(
  manifestSchema,
  JSON.parse(
    readFileSync(repositoryFile("examples/press/manifest.json"), "utf8"),
  ),
);
const PROOF: Submission = {
  agreement: "order-desk",
  work: "proof",
  tasks: [{ payload: { card: 7 } }],
};

function build(changes: Partial<Submission>, customer = "order-desk") {
  return buildJob(MANIFEST, ID, customer, { ...PROOF, ...changes });
}

function problemCodeOf(changes: Partial<Submission>, customer?: string) {
  const response = build(changes, customer)._unsafeUnwrapErr();
  assert.ok(response.kind === "problem");
  // `ran: false` would be unfounded: an earlier call with this id may have run.
  assert.equal(response.ran, undefined);
  return response.code;
}

test("job: policy and queue are those of the agreement and its kind of work", () => {
  const { request, policy } = build({ deadlineMs: 500 })._unsafeUnwrap();
  assert.equal(policy.queue, "order-desk/proof");
  assert.equal(policy.customer, "order-desk");
  assert.equal(request.startWithinMs, 500);
  assert.equal(request.steps.length, 1);
});

test("job: tasks with different demands keep the caller's order", () => {
  const large = { cpuMillis: 4_000, memoryMb: 1_024, accelerators: 0 };
  const tasks = [
    { payload: "a" },
    { payload: "b" },
    { payload: "c", demand: large },
    { payload: "d" },
  ];
  const { request } = build({ tasks })._unsafeUnwrap();
  assert.deepEqual(request.steps.map(({ taskCount }) => taskCount), [2, 1, 1]);
  assert.deepEqual(JSON.parse(request.specification).steps, [
    ["a", "b"],
    ["c"],
    ["d"],
  ]);
});

test("job: work that is not idempotent gets a single attempt", () => {
  for (const agreement of MANIFEST.agreements) {
    for (const { name, idempotent } of agreement.work) {
      const submission = { ...PROOF, agreement: agreement.name, work: name };
      const { customer } = agreement;
      const built = buildJob(MANIFEST, ID, customer, submission);
      const { policy, request } = built._unsafeUnwrap();
      assert.equal(policy.maxAttempts === 1, !idempotent);
      assert.equal(request.steps[0]?.atMostOnce === true, !idempotent);
    }
  }
});

test("job: unknown agreements and work and oversized payloads are rejected", () => {
  const { agreementUnknown, workUnknown, submissionInvalid } = diagnostics;
  assert.equal(problemCodeOf({ agreement: "wreaths" }), agreementUnknown.code);
  assert.equal(problemCodeOf({}, "funeral-homes"), agreementUnknown.code);
  assert.equal(problemCodeOf({ work: "wreath" }), workUnknown.code);
  const payload = "x".repeat(5_000);
  assert.equal(problemCodeOf({ tasks: [{ payload }] }), submissionInvalid.code);
});

// Guards against a record of a job that the store rejects: payloads are short,
// but each demand makes a step of its own.
test("job: steps that do not fit into its record are rejected", () => {
  const most = 2 ** 52;
  const demand = { cpuMillis: most, memoryMb: most, accelerators: most };
  const tasks = Array.from({ length: 970 }, (_, index) => ({
    payload: 1,
    demand,
    durationMs: most + index % 2,
  }));
  const { submissionInvalid } = diagnostics;
  assert.equal(build({ tasks: tasks.slice(0, 900) }).isOk(), true);
  assert.equal(problemCodeOf({ tasks }), submissionInvalid.code);
});
