import assert from "node:assert/strict";
import { it } from "node:test";
import { describeJob } from "../domain/mod.ts";
import { configureAccounts } from "../domain/testing/account_load.ts";
import {
  createBench,
  listing,
  listWorkers,
  step,
  submit,
} from "../domain/testing/domain_bench.ts";
import { explainJob } from "./explain_job.ts";

it("a job beyond its account's rate is explained by what goes first", () => {
  const bench = createBench();
  configureAccounts(bench, { shop: 1 });
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: 8 })], { clientAccount: "shop" });
  submit(bench, "b", [step()], { clientAccount: "shop" });
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  const value = describeJob(bench.domain, "b", moment)!;
  const lines = explainJob("b", { kind: "done", value });
  assert.match(lines.at(-1)!, /within the rates of client accounts goes first/);
});
