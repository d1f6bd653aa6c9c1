import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import { createSystemClock } from "../clients/mod.ts";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { manifestSchema } from "../model/mod.ts";
import type { CallRouter } from "./call_router.ts";
import { createRequestsApi } from "./requests_api.ts";
import type { EntryContext } from "./entry_context.ts";

const MANIFEST = v.parse(
  manifestSchema,
  JSON.parse(
    readFileSync(repositoryFile("examples/press/manifest.json"), "utf8"),
  ),
);

/** The parts of the context that the API uses, at an instance that reaches no owner. */
function contextWithoutOwners(): EntryContext {
  const context = {
    stopping: new AbortController(),
    closing: new AbortController(),
    configuration: { services: () => [] },
    manifest: { current: () => ({ manifest: MANIFEST }) },
  };
  return context as unknown as EntryContext;
}

const PENDING = {
  id: "5c0e7a21d94b36f8",
  queue: "proof",
  service: "default",
  specification: "another text",
  state: "pending",
  hasStarted: false,
  acceptedAtMs: 0,
  tasks: [],
  waits: [],
};
const MAX_WAIT_MS = 60_000;

const NO_OWNER = {
  kind: "unavailable",
  cause: "the domain has no owner",
  retryAfterMs: 500,
};

describe("a submission under the id of another customer's request", () => {
  it("is answered as an unknown id, and cancels nothing", async () => {
    const cancelled: string[] = [];
    const description = { ...PENDING, customer: "funeral-homes" };
    const router = {
      submit: () => Promise.resolve({ kind: "done", value: undefined }),
      describe: () => Promise.resolve({ kind: "done", value: description }),
      cancel: (id: string) => {
        cancelled.push(id);
        return Promise.resolve({ kind: "done", value: undefined });
      },
    };
    const api = createRequestsApi(
      contextWithoutOwners(),
      router as unknown as CallRouter,
    );
    const submission = {
      agreement: "order-desk",
      work: "proof",
      tasks: [{}],
    };
    const response = await api.submit(
      "order-desk",
      description.id,
      submission,
      0,
    );
    assert.ok(response.kind === "problem");
    assert.equal(response.status, 404);
    assert.deepEqual(cancelled, []);
  });
});

// Guards against callers whose connection is closed without an answer, since
// they wait for an outcome for longer than the instance still runs.
it("a call that waits for an outcome is answered when the instance stops", async () => {
  const description = { ...PENDING, customer: "order-desk" };
  const router = {
    describe: () => Promise.resolve({ kind: "done", value: description }),
  };
  const context = { ...contextWithoutOwners(), clock: createSystemClock() };
  const api = createRequestsApi(context, router as unknown as CallRouter);
  const answer = api.read("order-desk", PENDING.id, MAX_WAIT_MS);
  context.closing.abort();
  const inTime = await Promise.race([answer, delay(1_000)]);
  assert.equal(inTime?.kind, "view");
});

describe("an instance that reaches no owner", () => {
  it("does not report that a request did not run, since an earlier call may have run it", async () => {
    const router = {
      submit: () => Promise.resolve(NO_OWNER),
      describe: () => Promise.resolve(NO_OWNER),
    };
    const api = createRequestsApi(
      contextWithoutOwners(),
      router as unknown as CallRouter,
    );
    const submission = {
      agreement: "order-desk",
      work: "proof",
      tasks: [{}],
    };
    const id = "5c0e7a21d94b36f8";
    const response = await api.submit("order-desk", id, submission, 0);
    assert.ok(response.kind === "problem");
    assert.equal(response.status, 503);
    assert.equal(response.ran, undefined);
    assert.equal(response.retryAfterMs, 500);
  });
});
