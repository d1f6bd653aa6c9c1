import { test } from "node:test";
import assert from "node:assert/strict";
import { assertGolden } from "../cli/testing/golden_file.ts";
import type { Submission } from "../model/mod.ts";
import type { Call } from "./call.ts";
import {
  callProcess,
  createModelCluster,
  deliver,
  type ModelCluster,
  runFor,
  START_MS,
} from "./testing/model_cluster.ts";
import { AGREEMENT, CUSTOMER } from "./testing/model_manifest.ts";
import type { CallAnswer } from "./view.ts";

const SEED = 20_261_204;
const SHAPE = {
  instances: ["kigali-1", "kigali-2"],
  workers: ["kigali-w1", "kigali-w2"],
};
/** Noted at each start; the order in which peers answer says nothing. */
const STARTING_UP_MS = 1_500;

test("session: an order, a repeat at another instance, a keyed order", () => {
  const session = createSession();
  const id = issue(session, 0);
  submit(session, 0, id, "receipt", 1);
  submit(session, 1, id, "receipt", 1);
  runFor(session.cluster, 1_000);
  read(session, 1, id);
  call(session, 0, keyed("order-7"));
  call(session, 1, keyed("order-7"));
  runFor(session.cluster, 2_000);
  finish(session, "orders");
});

test("session: the home dies with an order running and one not sent", () => {
  const session = createSession();
  const running = issue(session, 0);
  submit(session, 0, running, "receipt", 1);
  const unsent = issue(session, 0);
  runFor(session.cluster, 100);
  say(session, "kigali-1 dies");
  session.cluster.processes[0]!.alive = false;
  submit(session, 1, running, "receipt", 1);
  submit(session, 1, unsent, "receipt", 1);
  runFor(session.cluster, 4_000);
  submit(session, 1, running, "receipt", 1);
  submit(session, 1, unsent, "receipt", 1);
  runFor(session.cluster, 1_000);
  finish(session, "home_dies");
});

test("session: durable work is adopted when its home dies", () => {
  const session = createSession();
  const id = issue(session, 0);
  submit(session, 0, id, "run", 6);
  runFor(session.cluster, 150);
  say(session, "kigali-1 dies");
  session.cluster.processes[0]!.alive = false;
  runFor(session.cluster, 8_000);
  read(session, 1, id);
  runFor(session.cluster, 1_000);
  finish(session, "adoption");
});

test("session: a paused home wakes up under a new incarnation", () => {
  const session = createSession();
  const home = session.cluster.processes[0]!;
  const id = issue(session, 0);
  say(session, "kigali-1 is paused");
  home.paused = true;
  runFor(session.cluster, 4_000);
  submit(session, 1, id, "receipt", 1);
  runFor(session.cluster, 1_000);
  say(session, "kigali-1 goes on");
  home.paused = false;
  for (const run of home.backlog.splice(0)) run();
  submit(session, 0, id, "receipt", 1);
  runFor(session.cluster, 4_000);
  finish(session, "pause");
});

test("session: a gang, a cancellation and a planned stop", () => {
  const session = createSession();
  const gang = issue(session, 0);
  submit(session, 0, gang, "gang", 2);
  const cancelled = issue(session, 1);
  submit(session, 1, cancelled, "proof", 2);
  runFor(session.cluster, 50);
  call(session, 1, {
    kind: "cancel",
    customer: CUSTOMER,
    requestId: cancelled,
  });
  say(session, "kigali-1 is drained");
  deliver(session.cluster, session.cluster.processes[0]!, { kind: "draining" });
  runFor(session.cluster, 4_000);
  read(session, 1, gang);
  runFor(session.cluster, 500);
  finish(session, "planned_stop");
});

test("session: the log is down while orders go on", () => {
  const session = createSession();
  session.cluster.platform.logDown = true;
  say(session, "the log is down");
  runFor(session.cluster, 1_000);
  submit(session, 0, issue(session, 0), "receipt", 1);
  submit(session, 0, issue(session, 0), "run", 1);
  call(session, 1, keyed("order-8"));
  runFor(session.cluster, 4_000);
  session.cluster.platform.logDown = false;
  say(session, "the log is back");
  call(session, 1, keyed("order-8"));
  runFor(session.cluster, 4_000);
  finish(session, "log_down");
});

type Session = { cluster: ModelCluster; lines: string[] };

function createSession(): Session {
  const cluster = createModelCluster(SHAPE, SEED);
  runFor(cluster, STARTING_UP_MS);
  return { cluster, lines: [] };
}

function issue(session: Session, index: number): string {
  let id = "";
  const process = session.cluster.processes[index]!;
  const issued = { kind: "issue", customer: CUSTOMER } as const;
  callProcess(session.cluster, process, issued, (raw) => {
    const answer = raw as CallAnswer;
    if (answer.kind === "issued") id = answer.id;
  });
  assert.notEqual(id, "");
  return id;
}

function submit(
  session: Session,
  index: number,
  requestId: string,
  work: string,
  count: number,
): void {
  call(session, index, {
    kind: "submit",
    customer: CUSTOMER,
    requestId,
    submission: submissionOf(work, count),
    waitMs: 3_000,
  });
}

function read(session: Session, index: number, requestId: string): void {
  const customer = CUSTOMER;
  call(session, index, { kind: "read", customer, requestId, waitMs: 0 });
}

function keyed(key: string): Call {
  return {
    kind: "submitKeyed",
    customer: CUSTOMER,
    key,
    submission: submissionOf("receipt", 1),
    waitMs: 3_000,
  };
}

function submissionOf(work: string, count: number): Submission {
  const tasks = Array.from({ length: count }, () => ({ payload: "card" }));
  return { agreement: AGREEMENT, work, tasks };
}

/** Puts a call in, and says what was asked and what was answered. */
function call(session: Session, index: number, asked: Call): void {
  const { cluster } = session;
  const process = cluster.processes[index]!;
  const id = "requestId" in asked ? ` ${shorten(asked.requestId)}` : "";
  const name = `${process.instance.id} ${asked.kind}${id}`;
  say(session, `call   ${name}`);
  callProcess(cluster, process, asked, (answer) => {
    say(session, `answer ${name}: ${describe(answer as CallAnswer)}`);
  });
}

function describe(answer: CallAnswer): string {
  switch (answer.kind) {
    case "view": {
      const { outcome, durability, tasks } = answer.view;
      const states = tasks.map((task) => task.state).join(",");
      const what = outcome.kind === "notKnownYet"
        ? `${outcome.kind} (${outcome.state})`
        : outcome.kind;
      return `${what}, durability ${durability} [${states}]`;
    }
    case "problem":
      return `problem ${answer.status} SS${answer.code} ran=${answer.ran}`;
    case "issued":
    case "published":
      return answer.kind;
  }
}

function say(session: Session, line: string): void {
  session.lines.push(`${clock(session.cluster.nowMs)}  ${line}`);
}

/** Compares the session, with the events of all processes, to its file. */
function finish(session: Session, name: string): void {
  const { cluster, lines } = session;
  const events = cluster.processes.flatMap(({ scheduler }) =>
    scheduler.timeLine.events
  ).filter((event) => !event.name.startsWith("worker."));
  const sinceMs = START_MS + 2 * STARTING_UP_MS;
  const noted = events
    .filter((event) => event.atMs >= sinceMs)
    .map((event) => {
      const { process, subject = "", detail = "" } = event;
      const what = `${event.name} ${shorten(subject)} ${shorten(detail)}`;
      const at = clock(event.atMs - START_MS);
      return `${at}  event  ${process} ${what}`.trimEnd();
    });
  const runs = cluster.checks.runs.map((run) =>
    `${run.worker} ran ${shorten(run.taskId)}, finished ${run.finished}`
  );
  const ordered = [...lines, ...noted]
    .map((line, index) => ({ line, index }))
    .sort((left, right) =>
      left.line.slice(0, 9).localeCompare(right.line.slice(0, 9)) ||
      left.index - right.index
    )
    .map(({ line }) => line);
  const text = [...ordered, "", ...runs, ""].join("\n");
  assert.deepEqual(cluster.checks.violations, []);
  assertGolden(`src/instance/baselines/${name}.txt`, text);
}

/** Leaves the instance, the number and the index of a task's id. */
function shorten(id: string): string {
  const [, instance, , sequence, rest] = id.split(".");
  if (rest === undefined) return id;
  const index = rest.includes("/") ? rest.slice(rest.indexOf("/")) : "";
  return `${instance}#${Number(sequence) - START_MS}${index}`;
}

function clock(ms: number): string {
  return `${(ms / 1_000).toFixed(3).padStart(7)}s`;
}
