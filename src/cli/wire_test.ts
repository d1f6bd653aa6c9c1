import assert from "node:assert/strict";
import { test } from "node:test";
import * as v from "valibot";
import { taskRowSchema } from "../api/mod.ts";
import { outcomeSchema, submissionSchema } from "../model/mod.ts";

/** Serializes a value to JSON and parses it again, like a network call. */
function roundTripJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

test("wire: a task without a payload can be submitted", () => {
  const submission = {
    agreement: "order-desk",
    work: "proof",
    tasks: [{ payload: undefined }],
  };
  assert.ok(v.is(submissionSchema, roundTripJson(submission)));
});

test("wire: a task without a worker can be listed", () => {
  const row = {
    id: "5c0e7a21d94b36f8.0.0.0",
    queue: "order-desk/proof",
    customer: "order-desk",
    state: "queued",
    worker: undefined,
    waitedMs: 4,
  };
  assert.ok(v.is(taskRowSchema, roundTripJson(row)));
});

test("wire: a task that finished has an outcome", () => {
  const finished = { kind: "finished", index: 0, attempt: 1 };
  const outcome = { kind: "ran", tasks: [finished] };
  assert.ok(v.is(outcomeSchema, roundTripJson(outcome)));
});
