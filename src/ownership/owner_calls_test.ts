/**
 * Guards against callers that hang during a store outage: reads of job states
 * that need a commit have to be rejected while no commit can succeed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  applyDomainEvent,
  createDomain,
  drainDirtyRecords,
  recordCommitted,
} from "../domain/mod.ts";
import type { DomainEvent } from "../domain/mod.ts";
import { policy, step } from "../domain/testing/domain_bench.ts";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import {
  answerOutcomeReads,
  applyCall,
  waitUntilReportable,
} from "./owner_calls.ts";
import type { OwnerAnswer } from "./owner_answer.ts";
import { executeCommitted, queueCommands } from "./owner_passes.ts";
import type { OwnerState } from "./owner_state.ts";
import { rejectUncommitted } from "./reject_uncommitted.ts";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

const SILENT_MS = 900;
const JOB = "a";

/** An owner whose append in flight has the given age. */
function ownerWith(append: { ageMs: number }): OwnerState {
  const domain = createDomain({ endedJobKeepMs: 1_000 });
  domain.owners.push({ instance: "10.0.0.1:1", epoch: 3 });
  const moment = { steadyMs: 0, wallMs: 0 };
  const request = { id: JOB, specification: "", steps: [step()] };
  applyDomainEvent(
    domain,
    { kind: "submitted", call: 1, request, policy: policy() },
    moment,
  );
  recordCommitted(domain, drainDirtyRecords(domain));
  applyDomainEvent(domain, { kind: "cancelled", call: 2, job: JOB }, moment);
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
    outcomeReads: new Map(),
    nextCallNumber: 1,
    uncommittedJobs: createUncommittedJobs(),
  } as unknown as OwnerState;
}

describe("pattern: job state reads while the store does not answer", () => {
  it("are rejected immediately if the answer needs a commit", async () => {
    const state = ownerWith({ ageMs: SILENT_MS });
    const unavailable = { kind: "storeDown", silentMs: SILENT_MS };
    assert.deepEqual(
      await waitUntilReportable(state, JOB, "completed"),
      unavailable,
    );
    assert.deepEqual(
      await waitUntilReportable(state, JOB, "unknownJob"),
      unavailable,
    );
  });

  it("are answered if the answer needs no commit", async () => {
    const state = ownerWith({ ageMs: SILENT_MS });
    assert.equal(await waitUntilReportable(state, JOB, "running"), undefined);
  });

  it("are answered if the end of the job is in the store", async () => {
    const state = ownerWith({ ageMs: SILENT_MS });
    recordCommitted(state.domain, drainDirtyRecords(state.domain));
    assert.equal(
      await waitUntilReportable(state, JOB, "cancelled"),
      undefined,
    );
  });

  it("are answered by the commit of the job's end, not by a later one", async () => {
    const state = ownerWith({ ageMs: 0 });
    const inFlight = drainDirtyRecords(state.domain);
    const reported = waitUntilReportable(state, JOB, "cancelled");
    answerOutcomeReads(state);
    assert.equal(state.pendingCalls.size, 1);
    recordCommitted(state.domain, inFlight);
    answerOutcomeReads(state);
    assert.equal(await reported, undefined);
    assert.equal(state.pendingReads.size, 0);
    assert.deepEqual(state.pendingCommands, []);
  });

  it("are rejected during the outage if they were pending before it", async () => {
    const append = { ageMs: 0 };
    const state = ownerWith(append);
    const reported = waitUntilReportable(state, JOB, "completed");
    append.ageMs = SILENT_MS;
    rejectUncommitted(state);
    assert.equal((await reported)?.kind, "storeDown");
    assert.equal(state.pendingReads.size, 0);
    assert.equal(state.pendingCalls.size, 0);
  });
});

/** An owner that applies events, with an append in flight of the given age. */
function ownerThatApplies(append: { ageMs: number }): OwnerState {
  const state = ownerWith(append);
  state.callJobs = new Map();
  state.nextCallNumber = 10;
  state.events = {
    emit(event: DomainEvent) {
      const moment = { steadyMs: 0, wallMs: 0 };
      queueCommands(state, applyDomainEvent(state.domain, event, moment));
    },
  } as OwnerState["events"];
  return state;
}

function submit(state: OwnerState, id: string): Promise<OwnerAnswer> {
  return applyCall(state, id, (call) => {
    state.uncommittedJobs.add(id, call, !state.domain.jobs.has(id));
    const request = { id, specification: "", steps: [step()] };
    return { kind: "submitted", call, request, policy: policy() };
  });
}

function cancel(state: OwnerState, job: string): Promise<OwnerAnswer> {
  return applyCall(state, job, (call) => ({ kind: "cancelled", call, job }));
}

/** The store answers: everything that is pending is stored. */
function commit(state: OwnerState, append: { ageMs: number }): string[] {
  append.ageMs = 0;
  const records = drainDirtyRecords(state.domain);
  state.uncommittedJobs.markAllSent();
  recordCommitted(state.domain, records);
  executeCommitted(state, state.pendingCommands.splice(0));
  return records.map(({ key }) => key);
}

// Guards against UNASKED: a cancellation that is acknowledged and lost, since
// the job that it had cancelled was withdrawn while the store was silent.
describe("a job that is cancelled before its record is sent to the store", () => {
  const NEW_JOB = "b";
  const storeDown = { kind: "storeDown", silentMs: SILENT_MS };

  it("stays cancelled once its cancellation is acknowledged", async () => {
    const append = { ageMs: 1 };
    const state = ownerThatApplies(append);
    const submitted = submit(state, NEW_JOB);
    const cancelled = cancel(state, NEW_JOB);
    append.ageMs = SILENT_MS;
    rejectUncommitted(state);
    assert.deepEqual(await submitted, storeDown);
    assert.ok(commit(state, append).includes(`job/${NEW_JOB}`));
    assert.deepEqual(await cancelled, { kind: "accepted" });
    assert.deepEqual(await repeatedSubmission(state, append), "cancelled");
  });

  it("stays cancelled if its submission arrives again in between", async () => {
    const append = { ageMs: 1 };
    const state = ownerThatApplies(append);
    const submitted = submit(state, NEW_JOB);
    const cancelled = [cancel(state, NEW_JOB), cancel(state, NEW_JOB)];
    const repeated = submit(state, NEW_JOB);
    append.ageMs = SILENT_MS;
    rejectUncommitted(state);
    assert.deepEqual(await submitted, storeDown);
    assert.deepEqual(await repeated, storeDown);
    commit(state, append);
    for (const answer of cancelled) {
      assert.deepEqual(await answer, { kind: "accepted" });
    }
    assert.deepEqual(await repeatedSubmission(state, append), "cancelled");
  });

  it("is withdrawn if only its submission is pending", async () => {
    const append = { ageMs: 1 };
    const state = ownerThatApplies(append);
    const submitted = submit(state, NEW_JOB);
    append.ageMs = SILENT_MS;
    rejectUncommitted(state);
    assert.deepEqual(await submitted, storeDown);
    assert.equal(state.domain.jobs.has(NEW_JOB), false);
    assert.deepEqual(await cancel(state, NEW_JOB), storeDown);
    commit(state, append);
    assert.deepEqual(await repeatedSubmission(state, append), "open");
  });

  async function repeatedSubmission(
    state: OwnerState,
    append: { ageMs: number },
  ): Promise<string | undefined> {
    const submitted = submit(state, NEW_JOB);
    commit(state, append);
    assert.deepEqual(await submitted, { kind: "accepted" });
    return state.domain.jobs.get(NEW_JOB)?.job.outcome;
  }
});
