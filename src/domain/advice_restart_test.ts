import assert from "node:assert/strict";
import { it } from "node:test";
import { takeAdviceRequest } from "./advice_requests.ts";
import {
  createBench,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const ADVICE = { decideMs: 100, perWorkerMs: 1, validMs: 2_000 };

function createRefusedStep() {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step()], { advice: ADVICE });
  takeRequest(bench);
  feedEvent(bench, {
    kind: "advised",
    stepKey: "a.0.0",
    namedWorkers: ["w1"],
    allowed: [],
    validMs: ADVICE.validMs,
  });
  return bench;
}

function takeRequest(bench: ReturnType<typeof createBench>) {
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  return takeAdviceRequest(bench.domain, moment, Infinity);
}

/** Lists the entry of the new incarnation. */
function listRestarted(bench: ReturnType<typeof createBench>) {
  const workers = [listing("w1", { bornMs: 2 })];
  feedEvent(bench, { kind: "workersListed", workers });
}

function allow(bench: ReturnType<typeof createBench>) {
  tick(bench, 1_000);
  assert.deepEqual(takeRequest(bench)?.workers, ["w1"]);
  const commands = feedEvent(bench, {
    kind: "advised",
    stepKey: "a.0.0",
    namedWorkers: ["w1"],
    allowed: [["w1", "ticket"]],
    validMs: ADVICE.validMs,
  });
  assert.equal(startsIn(commands).length, 1);
}

// Guards against steps that never start, because the policy refused workers
// that were down and that have restarted since.
it("the policy is asked again about a refused worker that has restarted", () => {
  const bench = createRefusedStep();
  tick(bench, 1_000);
  assert.equal(takeRequest(bench), undefined);
  reportFrom(bench, "w1", { bornMs: 2 });
  listRestarted(bench);
  allow(bench);
});

// Guards against the same for workers that left the list in between.
it("the policy is asked again about a refused worker that has come back", () => {
  const bench = createRefusedStep();
  feedEvent(bench, { kind: "workersListed", workers: [] });
  listWorkers(bench, listing("w1", { bornMs: 2 }));
  allow(bench);
});

// Guards against a refusal of the previous incarnation that arrives late.
it("an answer about a worker that restarted in the meantime is ignored", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step()], { advice: ADVICE });
  takeRequest(bench);
  reportFrom(bench, "w1", { bornMs: 2 });
  feedEvent(bench, {
    kind: "advised",
    stepKey: "a.0.0",
    namedWorkers: ["w1"],
    allowed: [],
    validMs: ADVICE.validMs,
  });
  listRestarted(bench);
  allow(bench);
});
