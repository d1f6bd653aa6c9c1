/**
 * An owner and a relay with one worker, over a connection that a test can
 * interrupt.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { ok } from "neverthrow";
import { createSystemClock } from "../../clients/mod.ts";
import type { DomainEvent } from "../../domain/mod.ts";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import type { PollCall, TaskHost } from "../../hosts/mod.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { createRelayedLinks, RELAY_GRANT_MS } from "./relayed_links.ts";
import { createRelayServer } from "./relay_server.ts";
import { createRelayReportRouter } from "./relay_report_router.ts";

const LEASE_MS = 5_000;
const POLL_DURATION_MS = 20;
const SUSPENSION_MS = 400;
const CONDITION_CHECK_INTERVAL_MS = 5;
const PEER = { address: "relay", zone: "a", cores: 1 };

type Connection = {
  isDisconnected: boolean;
  isGrantRefused: boolean;
  /** How far from now the owner lets leases end at the latest. */
  leaseLimitMs: number;
  /** Whether the relay says that it keeps this limit. */
  keepsLeaseLimit: boolean;
};

function createFixture() {
  const clock = createSystemClock();
  const suspension = { totalMs: 0 };
  const ownerClock = {
    ...clock,
    steadyMs: () => clock.steadyMs() - suspension.totalMs,
  };
  const controller = new AbortController();
  const connection: Connection = {
    isDisconnected: false,
    isGrantRefused: false,
    leaseLimitMs: 2 * LEASE_MS,
    keepsLeaseLimit: true,
  };
  const polls: PollCall[] = [];
  const started: string[] = [];
  const reportedTo = new Set<string>();
  const tasks = {
    async poll(_target, call) {
      polls.push(call);
      await delay(POLL_DURATION_MS);
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
    signal: controller.signal,
  };
  const reportRouter = createRelayReportRouter();
  const relayServer = createRelayServer({
    ...common,
    tasks,
    leaseMs: LEASE_MS,
    maxLeaseMs: 2 * LEASE_MS,
    report: ({ owner, instance }, session, batch) => {
      reportedTo.add(`${instance} at ${owner}`);
      if (connection.isDisconnected) return Promise.resolve(undefined);
      const { keepsLeaseLimit } = connection;
      const report = {
        ...batch,
        session,
        isLeaving: false,
        keepsLeaseLimit,
        keepsFences: true,
      };
      return Promise.resolve(reportRouter.dispatch(report));
    },
  });
  const events: DomainEvent[] = [];
  /** How far the owner's clock was past the time of each worker report. */
  const reportAgesMs: number[] = [];
  const lost: string[][] = [];
  const relayed = createRelayedLinks({
    ...common,
    clock: ownerClock,
    self: "owner",
    leaseMs: LEASE_MS,
    leaseLimitMs: () => connection.leaseLimitMs,
    reportAddress: "owner-reports",
    newSession: () => `session-${lost.length}`,
    epoch: 3,
    partition: { topic: "domains", number: 0 },
    sessions: reportRouter,
    peers: () => [PEER],
    post: (_relay, call) =>
      Promise.resolve(
        connection.isDisconnected
          ? undefined
          : relayServer.receive(call)
          ? "taken"
          : "closed",
      ),
    grantMs: () => connection.isGrantRefused ? 0 : 10_000,
    earlierLeasesRemainingMs: () => 0,
    emit: (event) => {
      events.push(event);
      if (event.kind !== "looked") return;
      reportAgesMs.push(ownerClock.steadyMs() - event.look.sentAtMs);
    },
    onFenced: () => assert.fail("fenced"),
    onLinksLost: (workers) => lost.push(workers),
  });
  const open = () =>
    relayed.open({
      target: { id: "w", address: "10.0.0.1:1", fence: 3 },
      zone: "a",
      bornMs: 0,
      acknowledged: 0,
      floorMs: 0,
    }, controller.signal);
  return {
    connection,
    suspension,
    polls,
    started,
    events,
    reportAgesMs,
    lost,
    reportedTo,
    controller,
    open,
  };
}

/** The ends of the leases that polls have granted. */
function leasesIn(polls: PollCall[]): number[] {
  return polls.flatMap(({ leaseUntilMs }) => leaseUntilMs ?? []);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(CONDITION_CHECK_INTERVAL_MS);
}

describe("a link that a relay holds", () => {
  it("forwards poll results to the owner and orders to the worker", async () => {
    const { events, started, controller, open } = createFixture();
    const link = open();
    await waitUntil(() => events.some(({ kind }) => kind === "looked"));
    link?.order({
      kind: "start",
      worker: "w",
      task: "j.0.0.0",
      attempt: 1,
      specification: "",
    });
    await waitUntil(() => events.some(({ kind }) => kind === "startAnswered"));
    controller.abort();
    assert.deepEqual(started, ["j.0.0.0/1"]);
  });

  // Guards against SHORT: the reports of relays waited behind the connections of
  // all instances to a new owner, which then took its relays for lost.
  it("reports to the address that the owner has for reports", async () => {
    const { events, reportedTo, controller, open } = createFixture();
    open();
    await waitUntil(() => events.some(({ kind }) => kind === "looked"));
    controller.abort();
    assert.deepEqual([...reportedTo], ["owner at owner-reports"]);
  });

  it("is lost when the relay stops reporting, and then grants no lease", async () => {
    const { connection, polls, lost, controller, open } = createFixture();
    open();
    await waitUntil(() =>
      polls.some((call) => call.leaseUntilMs !== undefined)
    );
    connection.isDisconnected = true;
    await waitUntil(() => lost.length > 0);
    await delay(RELAY_GRANT_MS);
    const pollsBefore = polls.length;
    await waitUntil(() => polls.length > pollsBefore + 1);
    controller.abort();
    assert.deepEqual(lost, [["w"]]);
    assert.deepEqual(
      polls.slice(pollsBefore).filter((call) =>
        call.leaseUntilMs !== undefined
      ),
      [],
    );
  });

  it("grants no lease once the owner stops extending the grant", async () => {
    const { connection, polls, controller, open } = createFixture();
    open();
    await waitUntil(() =>
      polls.some((call) => call.leaseUntilMs !== undefined)
    );
    connection.isGrantRefused = true;
    await delay(RELAY_GRANT_MS);
    const pollsBefore = polls.length;
    await waitUntil(() => polls.length > pollsBefore + 1);
    controller.abort();
    assert.deepEqual(
      polls.slice(pollsBefore).filter((call) =>
        call.leaseUntilMs !== undefined
      ),
      [],
    );
  });

  // Guards against leases that last for longer than the successor of their owner
  // knows, so that a task could run in two places.
  it("grants leases that end when the owner lets them end", async () => {
    const { connection, polls, controller, open } = createFixture();
    connection.leaseLimitMs = 500;
    open();
    await waitUntil(() => leasesIn(polls).length > 1);
    controller.abort();
    const limitMs = performance.now() + connection.leaseLimitMs;
    assert.ok(leasesIn(polls).every((untilMs) => untilMs <= limitMs));
  });

  it("grants no lease if it does not keep the limit to their ends", async () => {
    const { connection, polls, controller, open } = createFixture();
    connection.leaseLimitMs = LEASE_MS - 1;
    connection.keepsLeaseLimit = false;
    open();
    await waitUntil(() => polls.length > 5);
    controller.abort();
    assert.deepEqual(leasesIn(polls), []);
  });

  it("does not start a task that was stopped before the start was sent", async () => {
    const { connection, events, started, controller, open } = createFixture();
    connection.isGrantRefused = true;
    const link = open();
    await waitUntil(() => events.some(({ kind }) => kind === "looked"));
    const task = { worker: "w", task: "j.0.0.0", attempt: 1 };
    link?.order({ kind: "start", ...task, specification: "" });
    link?.order({ kind: "stop", ...task });
    await delay(4 * POLL_DURATION_MS);
    connection.isGrantRefused = false;
    await delay(400);
    controller.abort();
    assert.deepEqual(started, []);
  });

  // Guards against a task that runs twice after its owner was suspended: the
  // owner's clock has stood still and the relay's has not, so that reports would
  // seem to be from after starts which they don't list yet.
  it("reports no time that the owner's clock has not reached", async () => {
    const { connection, suspension, reportAgesMs, controller, open } =
      createFixture();
    open();
    await waitUntil(() => reportAgesMs.length > 0);
    connection.isDisconnected = true;
    await delay(SUSPENSION_MS);
    suspension.totalMs += SUSPENSION_MS;
    connection.isDisconnected = false;
    const reportsBefore = reportAgesMs.length;
    await waitUntil(() => reportAgesMs.length > reportsBefore + 10);
    controller.abort();
    assert.ok(Math.min(...reportAgesMs) >= 0, `${reportAgesMs}`);
  });
});
