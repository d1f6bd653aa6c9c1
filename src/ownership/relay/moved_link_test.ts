import assert from "node:assert/strict";
import { it } from "node:test";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { createSimulatedClock } from "../testing/simulated_clock.ts";
import { createRelayReportRouter } from "./relay_report_router.ts";
import { createRelayedLinks } from "./relayed_links.ts";

/** Relayed links of an owner, with one relay. */
function createFixture() {
  const controller = new AbortController();
  const { signal } = controller;
  const sessions = createRelayReportRouter();
  const causes: string[] = [];
  const lost: string[][] = [];
  const links = createRelayedLinks({
    clock: createSimulatedClock(),
    logger: silentLogger,
    counters: createCounters(),
    self: "owner",
    reportAddress: "owner-reports",
    newSession: () => "session",
    epoch: 3,
    partition: { topic: "domains", number: 0 },
    sessions,
    peers: () => [{ address: "relay", zone: "a", cores: 1 }],
    post: () => Promise.resolve("taken"),
    leaseMs: 5_000,
    grantMs: () => 1_000,
    leaseLimitMs: () => 5_000,
    earlierLeasesRemainingMs: () => 0,
    emit() {},
    onFenced: (cause) => causes.push(cause),
    onLinksLost: (workers) => lost.push(workers),
    signal,
  });
  const open = (linkSignal: AbortSignal) =>
    links.open({
      target: { id: "w", address: "10.0.0.1:1", fence: 3 },
      zone: "a",
      bornMs: 0,
      acknowledged: 0,
      floorMs: 0,
    }, linkSignal);
  let first = 1;
  const reportFenced = (cause: string, keepsFences: boolean) => {
    const messages = [{ kind: "fenced" as const, cause, worker: "w" }];
    const report = { session: "session", first, messages, keepsFences };
    first += 1;
    return sessions.dispatch({ ...report, isLeaving: false });
  };
  return { controller, open, reportFenced, causes, lost };
}

// Guards against an owner that ends its ownership: a relay that has not learned
// yet that its link was opened elsewhere is refused there by its fence.
it("a refused relay ends the ownership only while it holds the link", () => {
  const { controller, open, reportFenced, causes } = createFixture();
  const linkController = new AbortController();
  open(linkController.signal);
  linkController.abort();
  reportFenced("after its link was closed", true);
  open(controller.signal);
  reportFenced("while it holds the link", true);
  controller.abort();
  assert.deepEqual(causes, ["while it holds the link"]);
});

// Guards against the same: a relay of an earlier version does not use the fences
// of the owner, and is refused once the owner has called the worker itself.
it("a relay that does not use the owner's fences is dropped", () => {
  const { controller, open, reportFenced, causes, lost } = createFixture();
  open(controller.signal);
  assert.equal(reportFenced("refused", false).kind, "closed");
  controller.abort();
  assert.deepEqual([causes, lost], [[], [["w"]]]);
});
