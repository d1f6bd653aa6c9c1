import assert from "node:assert/strict";
import { it } from "node:test";
import { takeAdviceRequest } from "./advice_requests.ts";
import type { Step } from "./job.ts";
import {
  createBench,
  type DomainBench,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const WORKERS = ["w1", "w2", "w3", "w4"];
const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };
/** A worker costs more than a decision, so that requests name few of them. */
const ADVICE = { decideMs: 10, perWorkerMs: 20, validMs: 2_000 };

function takeRequest(bench: DomainBench): string[] {
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  return takeAdviceRequest(bench.domain, moment, Infinity)?.workers ?? [];
}

function allow(bench: DomainBench, namedWorkers: string[], allowed: string[]) {
  return feedEvent(bench, {
    kind: "advised",
    stepKey: "a.0.0",
    namedWorkers,
    allowed: allowed.map((id) => [id, `ticket-${id}`]),
    validMs: ADVICE.validMs,
  });
}

/**
 * Submits a step whose allowed workers are taken by long tasks of another job
 * while the policy decides, and returns the workers of its next request.
 */
function requestAfterLosing(changes: Partial<Step>) {
  const bench = createBench();
  listWorkers(bench, ...WORKERS.map((id) => listing(id)));
  const needed = step({ demand: WHOLE_WORKER, ...changes });
  submit(bench, "a", [needed], { advice: ADVICE });
  takeRequest(bench);
  const long = { demand: WHOLE_WORKER, estimateMs: 60_000 };
  const taken = startsIn(
    submit(bench, "b", [step({ ...long, taskCount: needed.taskCount })]),
  );
  for (const { worker, task, attempt } of taken) {
    bench.nowMs += 10;
    reportFrom(bench, worker, { running: [running(task, attempt)] });
  }
  const allowed = taken.map(({ worker }) => worker);
  allow(bench, allowed, allowed);
  tick(bench, 1_000);
  return { bench, allowed, named: takeRequest(bench) };
}

// Guards against LOST: a gang waited until its allowed workers were free, while
// others were free that the policy had not decided on.
it("a gang asks about free workers if its allowed ones are taken", () => {
  const { bench, allowed, named } = requestAfterLosing({
    taskCount: 2,
    gang: true,
  });
  const further = WORKERS.filter((id) => !allowed.includes(id));
  assert.deepEqual(named.filter((id) => further.includes(id)), further);
  assert.equal(startsIn(allow(bench, named, further)).length, 2);
});

// Guards against LOST: a step whose allowed workers were all full never asked
// about others, if the policy takes longer for a worker than for a decision.
it("a step asks about free workers if its allowed ones are taken", () => {
  const { bench, allowed, named } = requestAfterLosing({});
  const further = named.filter((id) => !allowed.includes(id));
  assert.notEqual(further.length, 0);
  assert.equal(startsIn(allow(bench, named, further)).length, 1);
});
