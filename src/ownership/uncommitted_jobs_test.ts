import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

describe("jobs without a record", () => {
  it("are withdrawn with every call that hands them in", () => {
    const jobs = createUncommittedJobs();
    jobs.add("a", 1, true);
    jobs.add("a", 2, false);
    assert.deepEqual(jobs.withdrawAll(), [{ job: "a", calls: [1, 2] }]);
    assert.deepEqual(jobs.withdrawAll(), []);
  });

  it("are kept once their records may have left", () => {
    const jobs = createUncommittedJobs();
    jobs.add("a", 1, true);
    jobs.markAllSent();
    jobs.add("a", 2, false);
    assert.deepEqual(jobs.withdrawAll(), []);
  });
});
