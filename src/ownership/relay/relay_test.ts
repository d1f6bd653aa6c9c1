/**
 * An owner and a relay over a line that a test cuts, with a worker behind it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { ok } from "neverthrow";
import { createSystemClock } from "../../clients/mod.ts";
import type { DomainEvent } from "../../domain/mod.ts";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import type { LookCall, TaskHost } from "../../hosts/mod.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { createRelayedLinks, RELAY_GRANT_MS } from "./relayed_links.ts";
import { createRelayHolder } from "./relay_holder.ts";
import { createRelaySessions } from "./relay_sessions.ts";

const LEASE_MS = 5_000;
const LOOK_MS = 20;
const POLL_MS = 5;
const PEER = { address: "relay", zone: "a", cores: 1 };

type Line = { isCut: boolean; isOwnerGone: boolean };

function createTrial() {
  const clock = createSystemClock();
  const ending = new AbortController();
  const line: Line = { isCut: false, isOwnerGone: false };
  const looks: LookCall[] = [];
  const started: string[] = [];
  const tasks = {
    async look(_target, call) {
      looks.push(call);
      await delay(LOOK_MS);
      const clockMs = clock.steadyMs();
      return ok({ clockMs, bornMs: 1, running: [], ended: [] });
    },
    start(_target, call) {
      started.push(`${call.task}/${call.attempt}`);
      return Promise.resolve(ok({ kind: "accepted" as const }));
    },
    stop: () => Promise.resolve(ok(undefined)),
  } as Omit<TaskHost, "pace"> as TaskHost;
  const common = {
    clock,
    logger: silentLogger,
    counters: createCounters(),
    signal: ending.signal,
  };
  const sessions = createRelaySessions();
  const relay = createRelayHolder({
    ...common,
    tasks,
    leaseMs: LEASE_MS,
    report: (_owner, session, batch) => {
      if (line.isCut) return Promise.resolve(undefined);
      const report = { ...batch, session, isLeaving: false };
      return Promise.resolve(sessions.take(report));
    },
  });
  const events: DomainEvent[] = [];
  const lost: string[][] = [];
  const relayed = createRelayedLinks({
    ...common,
    self: "owner",
    newSession: () => `session-${lost.length}`,
    epoch: 3,
    partition: { topic: "domains", number: 0 },
    sessions,
    peers: () => [PEER],
    post: (_relay, call) =>
      Promise.resolve(
        line.isCut ? undefined : relay.take(call) ? "taken" : "closed",
      ),
    grantMs: () => line.isOwnerGone ? 0 : 10_000,
    earlierLeasesMs: () => 0,
    emit: (event) => events.push(event),
    onFenced: () => assert.fail("fenced"),
    onLost: (workers) => lost.push(workers),
  });
  const open = () =>
    relayed.open({
      target: { id: "w", address: "10.0.0.1:1", epoch: 3 },
      zone: "a",
      bornMs: 0,
      acknowledged: 0,
      floorMs: 0,
    }, ending.signal);
  return { line, looks, started, events, lost, ending, open };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(POLL_MS);
}

describe("a link that a relay holds", () => {
  it("brings looks to the owner and orders to the worker", async () => {
    const { events, started, ending, open } = createTrial();
    const link = open();
    await until(() => events.some(({ kind }) => kind === "looked"));
    link?.order({
      kind: "start",
      worker: "w",
      task: "j.0.0.0",
      attempt: 1,
      specification: "",
    });
    await until(() => events.some(({ kind }) => kind === "startAnswered"));
    ending.abort();
    assert.deepEqual(started, ["j.0.0.0/1"]);
  });

  it("is lost when the relay does not report, and grants no lease", async () => {
    const { line, looks, lost, ending, open } = createTrial();
    open();
    await until(() => looks.some((look) => look.leaseUntilMs !== undefined));
    line.isCut = true;
    await until(() => lost.length > 0);
    await delay(RELAY_GRANT_MS);
    const from = looks.length;
    await until(() => looks.length > from + 1);
    ending.abort();
    assert.deepEqual(lost, [["w"]]);
    assert.deepEqual(
      looks.slice(from).filter((look) => look.leaseUntilMs !== undefined),
      [],
    );
  });

  it("grants no lease once the owner may not", async () => {
    const { line, looks, ending, open } = createTrial();
    open();
    await until(() => looks.some((look) => look.leaseUntilMs !== undefined));
    line.isOwnerGone = true;
    await delay(RELAY_GRANT_MS);
    const from = looks.length;
    await until(() => looks.length > from + 1);
    ending.abort();
    assert.deepEqual(
      looks.slice(from).filter((look) => look.leaseUntilMs !== undefined),
      [],
    );
  });

  it("starts nothing that was stopped before it could leave", async () => {
    const { line, events, started, ending, open } = createTrial();
    line.isOwnerGone = true;
    const link = open();
    await until(() => events.some(({ kind }) => kind === "looked"));
    const task = { worker: "w", task: "j.0.0.0", attempt: 1 };
    link?.order({ kind: "start", ...task, specification: "" });
    link?.order({ kind: "stop", ...task });
    await delay(4 * LOOK_MS);
    line.isOwnerGone = false;
    await delay(400);
    ending.abort();
    assert.deepEqual(started, []);
  });
});
