import assert from "node:assert/strict";
import { test } from "node:test";
import { holderOf } from "../membership/mod.ts";
import type { PeerMessage } from "./peer_message.ts";
import { applySighting } from "./recovery_flow.ts";
import { enterRequest } from "./requests.ts";
import { selfHolder } from "./scheduler.ts";
import {
  callProcess,
  createModelCluster,
  type ModelCluster,
  restartProcess,
  runFor,
} from "./testing/model_cluster.ts";
import { AGREEMENT, CUSTOMER } from "./testing/model_manifest.ts";

const SHAPE = {
  instances: ["kigali-a", "kigali-b"],
  workers: ["kigali-w0", "kigali-w1", "kigali-w2", "kigali-w3"],
};

test("move: a guest that started anew does not take a repeated move", () => {
  const cluster = createModelCluster(SHAPE, 1);
  runFor(cluster, 2_000);
  const move = moveTo(cluster);
  assert.deepEqual(ask(cluster, move), { accepted: true });
  runFor(cluster, 50);
  assert.equal(cluster.checks.runs.length, 1);
  restartProcess(cluster, 1);
  runFor(cluster, 1);
  assert.deepEqual(ask(cluster, move), { accepted: false, stranger: true });
  runFor(cluster, 5_000);
  assert.deepEqual(cluster.checks.violations, []);
  assert.equal(cluster.checks.runs.length, 1);
});

test("move: a repeat under the same number changes nothing", () => {
  const cluster = createModelCluster(SHAPE, 1);
  runFor(cluster, 2_000);
  const move = moveTo(cluster);
  for (let copy = 0; copy < 5; copy++) {
    assert.deepEqual(ask(cluster, move), { accepted: true });
    runFor(cluster, 500);
  }
  assert.equal(cluster.checks.runs.length, 1);
});

test("move: a task sent by an earlier move of its request is handed back", () => {
  const cluster = createModelCluster(SHAPE, 1);
  runFor(cluster, 2_000);
  const { scheduler } = cluster.processes[0]!;
  const move = moveTo(cluster);
  assert.equal(move.kind, "move");
  if (move.kind !== "move") return;
  const home = selfHolder(scheduler);
  const [task] = move.tasks;
  const entry = enterRequest(
    scheduler,
    move.request,
    [task!],
    "home",
    home,
    "none",
  );
  const sent = entry.tasks.get(0)!;
  sent.progress = { kind: "moved", guest: move.to };
  sent.moveEpoch = 1;
  entry.moveEpoch = 2;
  const taskId = task!.id;
  applySighting(scheduler, move.to, { kind: "returned", taskId, epoch: 2 });
  assert.equal(sent.progress.kind, "moved");
  applySighting(scheduler, move.to, { kind: "returned", taskId, epoch: 1 });
  assert.notEqual(sent.progress.kind, "moved");
});

test("move: an earlier move that comes late still brings its tasks", () => {
  const cluster = createModelCluster(SHAPE, 1);
  runFor(cluster, 2_000);
  const first = moveTo(cluster);
  const second = moveTo(cluster);
  if (first.kind !== "move" || second.kind !== "move") return;
  const { requestId } = first.tasks[0]!;
  const later = { ...second.tasks[0]!, id: `${requestId}/1`, index: 1 };
  const answer = ask(cluster, { ...second, epoch: 2, tasks: [later] });
  assert.deepEqual(answer, { accepted: true });
  assert.deepEqual(ask(cluster, first), { accepted: true });
  assert.deepEqual(ask(cluster, first), { accepted: true });
  runFor(cluster, 1_000);
  const started = cluster.checks.runs.map((run) => run.index).sort();
  assert.deepEqual(started, [0, 1]);
});

/** A move of one task from the first instance to the second. */
function moveTo(cluster: ModelCluster): PeerMessage {
  const [home, guest] = cluster.processes.map(({ scheduler }) => scheduler);
  const requestId = "kigali.kigali-a.i1.1700000000001.AAAAAAAAAAAAAAAA";
  const { log, moment } = home!;
  const work = log.manifest!.agreements[0]!.work[0]!;
  const task = {
    id: `${requestId}/0`,
    requestId,
    index: 0,
    count: 1,
    attempt: 1,
    customer: CUSTOMER,
    agreement: AGREEMENT,
    work: work.name,
    policy: work.policy,
    urgency: work.urgency,
    idempotent: work.idempotent,
    demand: work.demand,
    durationMs: work.durationMs,
    payload: "card",
  };
  return {
    kind: "move",
    from: selfHolder(home!),
    to: holderOf(guest!.self),
    home: selfHolder(home!),
    epoch: 1,
    request: {
      id: requestId,
      customer: CUSTOMER,
      agreement: AGREEMENT,
      work: work.name,
      digest: "",
      durable: false,
      acceptedAtMs: moment.wallMs,
      tasks: [],
    },
    tasks: [task],
  };
}

function ask(cluster: ModelCluster, message: PeerMessage): unknown {
  let answer: unknown;
  const guest = cluster.processes[1]!;
  callProcess(cluster, guest, { kind: "peer", message }, (raw) => {
    answer = raw;
  });
  return answer;
}
