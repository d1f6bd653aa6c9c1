import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

describe("uncommitted jobs", () => {
  it("are withdrawn with every call that submitted them", () => {
    const jobs = createUncommittedJobs();
    jobs.add("a", 1, true);
    jobs.add("a", 2, false);
    assert.deepEqual(jobs.withdrawAll(), [{ job: "a", calls: [1, 2] }]);
    assert.deepEqual(jobs.withdrawAll(), []);
  });

  it("are not withdrawn once their records may have been sent", () => {
    const jobs = createUncommittedJobs();
    jobs.add("a", 1, true);
    jobs.markAllSent();
    jobs.add("a", 2, false);
    assert.deepEqual(jobs.withdrawAll(), []);
  });
});
