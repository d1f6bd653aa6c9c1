import assert from "node:assert/strict";
import { test } from "node:test";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { JobDescription, TaskDescription } from "../domain/mod.ts";
import { requestViewSchema } from "../model/mod.ts";
import { buildRequestView } from "./build_request_view.ts";

function job(changes: Partial<JobDescription>): JobDescription {
  return {
    id: "5c0e7a21d94b36f8",
    queue: "order-desk/proof",
    service: "default",
    specification: "",
    state: "pending",
    hasStarted: false,
    acceptedAtMs: 0,
    tasks: [],
    waits: [],
    ...changes,
  };
}

function task(changes: Partial<TaskDescription>): TaskDescription {
  return { index: 0, state: "queued", attempt: 0, failures: 0, ...changes };
}

function outcomeKindsOf(description: JobDescription): string[] {
  const { outcome } = buildRequestView(description);
  return outcome.kind === "ran"
    ? outcome.tasks.map(({ kind }) => kind)
    : [outcome.kind];
}

test("view: the outcome of a queued or running request is not known yet", () => {
  const { outcome } = buildRequestView(job({}));
  assert.ok(outcome.kind === "notKnownYet");
  assert.equal(outcome.state, "queued");
  assert.deepEqual(
    outcomeKindsOf(job({ state: "running", hasStarted: true })),
    [
      "notKnownYet",
    ],
  );
});

test("view: each task of an ended request has an outcome of its own", () => {
  const tasks = [
    task({ state: "done", attempt: 1 }),
    task({ index: 1, attempt: 2, failures: 2 }),
    task({ index: 2, attempt: 1 }),
    task({ index: 3 }),
  ];
  assert.deepEqual(
    outcomeKindsOf(job({ state: "failed", hasStarted: true, tasks })),
    ["finished", "failed", "stopped", "didNotRun"],
  );
});

test("view: a cancelled request counts as not run only if no task started", () => {
  assert.deepEqual(outcomeKindsOf(job({ state: "cancelled" })), ["didNotRun"]);
  const tasks = [task({ attempt: 1 })];
  const started = job({ state: "cancelled", hasStarted: true, tasks });
  assert.deepEqual(outcomeKindsOf(started), ["stopped"]);
});

test("view: the outcome is not final while a task is running", () => {
  const tasks = [
    task({ state: "done", attempt: 1 }),
    task({ index: 1, state: "running", worker: "w1", attempt: 1 }),
  ];
  for (const state of ["cancelled", "failed"] as const) {
    const description = job({ state, hasStarted: true, tasks });
    assert.deepEqual(outcomeKindsOf(description), ["notKnownYet"]);
  }
});

test("view: a missed start deadline is distinguished from a cancellation", () => {
  const codeOf = (endedAtMs: number) => {
    const changes = { startWithinMs: 500, endedAtMs };
    const { outcome } = buildRequestView(
      job({ state: "cancelled", ...changes }),
    );
    return outcome.kind === "didNotRun" ? outcome.code : undefined;
  };
  assert.equal(codeOf(501), diagnostics.deadlinePassed.code);
  assert.equal(codeOf(400), diagnostics.cancelled.code);
});

test("view: a JSON round trip leaves a view unchanged", () => {
  const tasks = [task({ state: "running", worker: "w1", attempt: 1 })];
  const view = buildRequestView(job({ state: "running", tasks }));
  const received = JSON.parse(JSON.stringify(view));
  assert.deepEqual(v.parse(requestViewSchema, received), view);
});
