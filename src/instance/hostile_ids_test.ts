import assert from "node:assert/strict";
import { test } from "node:test";
import type { Call } from "./call.ts";
import { issueRequestId } from "./request_ids.ts";
import type { Scheduler } from "./scheduler.ts";
import {
  callProcess,
  createModelCluster,
  type ModelCluster,
  runFor,
} from "./testing/model_cluster.ts";
import { AGREEMENT, CUSTOMER } from "./testing/model_manifest.ts";
import type { CallAnswer } from "./view.ts";

const SEED = 7;
const FORGED_IDS = 500;
const SHAPE = {
  instances: ["kigali-1", "kigali-2", "huye-1"],
  workers: ["kigali-w1", "huye-w1"],
};

test("ids: forged and foreign ids are refused and leave no state", () => {
  const cluster = createModelCluster(SHAPE, SEED);
  runFor(cluster, 2_000);
  const { scheduler } = cluster.processes[0]!;
  const before = sizesOf(scheduler);
  const started = cluster.checks.runs.length;
  for (const requestId of forgedIds(scheduler)) {
    for (const call of callsFor(requestId)) {
      const answer = ask(cluster, call);
      assert.equal(answer?.kind, "problem");
      if (answer?.kind === "problem") {
        assert.deepEqual([answer.status, answer.code], [404, 3007]);
        assert.equal(answer.ran, undefined);
      }
    }
  }
  assert.deepEqual(sizesOf(scheduler), before);
  runFor(cluster, 2_000);
  assert.equal(cluster.checks.runs.length, started);
});

test("ids: an id of a lost incarnation is never started by a retry", () => {
  const cluster = createModelCluster(SHAPE, SEED);
  runFor(cluster, 2_000);
  const home = cluster.processes[1]!;
  let id = "";
  callProcess(cluster, home, { kind: "issue", customer: CUSTOMER }, (raw) => {
    const answer = raw as CallAnswer;
    if (answer.kind === "issued") id = answer.id;
  });
  home.alive = false;
  runFor(cluster, 3_000);
  const started = cluster.checks.runs.length;
  for (let retry = 0; retry < 50; retry++) {
    ask(cluster, callsFor(id)[0]!);
    runFor(cluster, 50);
  }
  assert.equal(cluster.checks.runs.length, started);
});

test("ids: a refused call that comes again late does not run", () => {
  const cluster = createModelCluster(SHAPE, SEED);
  runFor(cluster, 2_000);
  const { scheduler } = cluster.processes[0]!;
  const issued = ask(cluster, { kind: "issue", customer: CUSTOMER });
  assert.equal(issued?.kind, "issued");
  if (issued?.kind !== "issued") return;
  const call = callsFor(issued.id)[0]!;
  const { maxQueuedTasks } = scheduler.options;
  scheduler.options.maxQueuedTasks = 0;
  const refused = ask(cluster, call);
  assert.equal(refused?.kind === "problem" && refused.ran, false);
  scheduler.options.maxQueuedTasks = maxQueuedTasks;
  const late = ask(cluster, call);
  assert.equal(
    late?.kind === "view" && late.view.outcome.kind,
    "didNotRun",
  );
  runFor(cluster, 2_000);
  assert.equal(cluster.checks.runs.length, 0);
});

/** Ids of other customers, zones, incarnations and secrets, and plain noise. */
function forgedIds(scheduler: Scheduler): string[] {
  const { self, options } = scheduler;
  const ids: string[] = [];
  for (let number = 0; number < FORGED_IDS; number++) {
    const own = issueRequestId(options.secret, self, number, CUSTOMER);
    const [zone, instance, incarnation, sequence, signature] = own.split(".");
    ids.push(
      issueRequestId(options.secret, self, number, "parish"),
      issueRequestId("another secret", self, number, CUSTOMER),
      ["huye", instance, incarnation, sequence, signature].join("."),
      [zone, instance, "i999", sequence, signature].join("."),
      [zone, instance, incarnation, `${sequence}9`, signature].join("."),
      "x".repeat(number),
    );
  }
  return ids;
}

function callsFor(requestId: string): Call[] {
  const customer = CUSTOMER;
  const tasks = [{ payload: "card" }];
  const submission = { agreement: AGREEMENT, work: "receipt", tasks };
  return [
    { kind: "submit", customer, requestId, submission, waitMs: 0 },
    { kind: "read", customer, requestId, waitMs: 0 },
    { kind: "cancel", customer, requestId },
  ];
}

function ask(cluster: ModelCluster, call: Call): CallAnswer | undefined {
  let answer: CallAnswer | undefined;
  callProcess(cluster, cluster.processes[0]!, call, (raw) => {
    answer = raw as CallAnswer;
  });
  return answer;
}

function sizesOf(scheduler: Scheduler) {
  const { requests, copies, links, forwards, runner } = scheduler;
  return {
    requests: requests.size,
    copies: copies.size,
    links: links.size,
    forwards: forwards.size,
    waiting: runner.waiting.size,
    topics: runner.topics.size,
    ready: runner.ready.length,
    events: scheduler.timeLine.events.length,
  };
}
