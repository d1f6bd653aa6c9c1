/**
 * The load of an outage: callers who ask for states while nothing can be
 * committed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDomain } from "../domain/mod.ts";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { rejectUncommitted, waitUntilReportable } from "./owner_calls.ts";
import type { OwnerState } from "./owner_state.ts";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

const SILENT_MS = 900;

/** An owner whose append has had no answer for a time. */
function ownerWith(stalled: { ms: number }): OwnerState {
  const domain = createDomain({ endedJobKeepMs: 1_000 });
  domain.owners.push({ instance: "10.0.0.1:1", epoch: 3 });
  return {
    domain,
    host: { signal: new AbortController().signal, logger: silentLogger },
    pendingCommands: [],
    writer: {
      stalledMs: () => stalled.ms,
      isIdle: () => false,
      requestCommit() {},
    },
    pendingCalls: new Map(),
    pendingReads: new Set(),
    nextCallNumber: 1,
    uncommittedJobs: createUncommittedJobs(),
  } as unknown as OwnerState;
}

describe("pattern: questions for states while the store is silent", () => {
  it("are refused at once where the answer needs a commit", async () => {
    const state = ownerWith({ ms: SILENT_MS });
    const silence = { kind: "storeDown", silentMs: SILENT_MS };
    assert.deepEqual(await waitUntilReportable(state, "completed"), silence);
    assert.deepEqual(await waitUntilReportable(state, "unknownJob"), silence);
  });

  it("are answered where it needs none", async () => {
    const state = ownerWith({ ms: SILENT_MS });
    assert.equal(await waitUntilReportable(state, "running"), undefined);
  });

  it("do not wait for the end of the outage if they came before it", async () => {
    const stalled = { ms: 0 };
    const state = ownerWith(stalled);
    const told = waitUntilReportable(state, "completed");
    stalled.ms = SILENT_MS;
    rejectUncommitted(state);
    assert.equal((await told)?.kind, "storeDown");
    assert.equal(state.pendingReads.size, 0);
    assert.equal(state.pendingCalls.size, 0);
  });
});
