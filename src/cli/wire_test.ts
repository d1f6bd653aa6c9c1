import assert from "node:assert/strict";
import { test } from "node:test";
import * as v from "valibot";
import { outcomeSchema, taskSchema } from "../model/mod.ts";

/** What a value is after it went over the network. */
function overTheWire(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

test("wire: a task without a payload is a task", () => {
  const task = {
    id: "kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa/0",
    requestId: "kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa",
    index: 0,
    count: 1,
    attempt: 1,
    customer: "order-desk",
    agreement: "order-desk",
    work: "proof",
    policy: { kind: "batch" },
    urgency: 8,
    idempotent: true,
    demand: { cpuMillis: 1000, memoryMb: 512, accelerators: 0 },
    durationMs: 400,
    payload: undefined,
  };
  assert.ok(v.is(taskSchema, overTheWire(task)));
});

test("wire: a task that finished without an output has an outcome", () => {
  const finished = {
    kind: "finished",
    index: 0,
    worker: "kigali-w1",
    attempt: 1,
    output: undefined,
  };
  const outcome = { kind: "ran", tasks: [finished] };
  assert.ok(v.is(outcomeSchema, overTheWire(outcome)));
});
