import assert from "node:assert/strict";
import { it } from "node:test";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { createSimulatedClock } from "../testing/simulated_clock.ts";
import { createRelayReportRouter } from "./relay_report_router.ts";
import { createRelayedLinks } from "./relayed_links.ts";

// Guards against an owner that ends its ownership: a relay that has not learned
// yet that its link was opened elsewhere is refused there by its fence.
it("a refused relay ends the ownership only while it holds the link", () => {
  const controller = new AbortController();
  const { signal } = controller;
  const sessions = createRelayReportRouter();
  const causes: string[] = [];
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
    onLinksLost() {},
    signal,
  });
  const linkController = new AbortController();
  const target = { id: "w", address: "10.0.0.1:1", fence: 3 };
  const known = { bornMs: 0, acknowledged: 0, floorMs: 0 };
  links.open({ target, zone: "a", ...known }, linkController.signal);
  let first = 1;
  const reportFenced = (cause: string) => {
    const messages = [{ kind: "fenced" as const, cause, worker: "w" }];
    const session = "session";
    sessions.dispatch({ session, first, messages, isLeaving: false });
    first += 1;
  };
  linkController.abort();
  reportFenced("after its link was closed");
  links.open({ target, zone: "a", ...known }, signal);
  reportFenced("while it holds the link");
  controller.abort();
  assert.deepEqual(causes, ["while it holds the link"]);
});
