/**
 * Guards against callers that hang during a store outage: reads of job states
 * that need a commit have to be rejected while no commit can succeed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDomain } from "../domain/mod.ts";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { rejectUncommitted, waitUntilReportable } from "./owner_calls.ts";
import type { OwnerState } from "./owner_state.ts";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

const SILENT_MS = 900;

/** An owner whose append in flight has the given age. */
function ownerWith(append: { ageMs: number }): OwnerState {
  const domain = createDomain({ endedJobKeepMs: 1_000 });
  domain.owners.push({ instance: "10.0.0.1:1", epoch: 3 });
  return {
    domain,
    host: { signal: new AbortController().signal, logger: silentLogger },
    pendingCommands: [],
    writer: {
      appendAgeMs: () => append.ageMs,
      isIdle: () => false,
      requestCommit() {},
    },
    pendingCalls: new Map(),
    pendingReads: new Set(),
    nextCallNumber: 1,
    uncommittedJobs: createUncommittedJobs(),
  } as unknown as OwnerState;
}

describe("pattern: job state reads while the store does not answer", () => {
  it("are rejected immediately if the answer needs a commit", async () => {
    const state = ownerWith({ ageMs: SILENT_MS });
    const unavailable = { kind: "storeDown", silentMs: SILENT_MS };
    assert.deepEqual(
      await waitUntilReportable(state, "completed"),
      unavailable,
    );
    assert.deepEqual(
      await waitUntilReportable(state, "unknownJob"),
      unavailable,
    );
  });

  it("are answered if the answer needs no commit", async () => {
    const state = ownerWith({ ageMs: SILENT_MS });
    assert.equal(await waitUntilReportable(state, "running"), undefined);
  });

  it("are rejected during the outage if they were pending before it", async () => {
    const append = { ageMs: 0 };
    const state = ownerWith(append);
    const reported = waitUntilReportable(state, "completed");
    append.ageMs = SILENT_MS;
    rejectUncommitted(state);
    assert.equal((await reported)?.kind, "storeDown");
    assert.equal(state.pendingReads.size, 0);
    assert.equal(state.pendingCalls.size, 0);
  });
});
