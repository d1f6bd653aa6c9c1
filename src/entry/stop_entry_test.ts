import assert from "node:assert/strict";
import { EventEmitter, setMaxListeners } from "node:events";
import { it } from "node:test";
import { ok } from "neverthrow";
import { createSimulatedClock } from "../ownership/testing/simulated_clock.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Servers } from "./serve.ts";
import { stopEntry } from "./stop_entry.ts";
import { silentLogger } from "./testing/manual_clock.ts";

const GRACE_S = 6;
/** How long the last commits of a domain may take to be given up, in ms. */
const RELEASE_MS = 800;

const CALL_TIMEOUT_MS = 400;

/**
 * An owner whose clients don't disconnect, among instances that don't answer.
 *
 * @param others number of the other instances
 */
function createFixture(others = 0) {
  const clock = createSimulatedClock();
  const ending = new AbortController();
  setMaxListeners(0, ending.signal);
  const context = {
    clock,
    platform: {
      store: {
        append: () => Promise.resolve(ok(undefined)),
        leave: () => Promise.resolve(ok(undefined)),
      },
    },
    logger: { part: () => silentLogger },
    self: "self",
    instances: {
      addresses: () => Array.from({ length: others }, (_, n) => `peer-${n}`),
    },
    rpc: {
      confirm: () =>
        clock.sleep(CALL_TIMEOUT_MS, ending.signal).then(() => false),
    },
    ownedDomains: {
      count: () => 1,
      close: () => clock.sleep(RELEASE_MS, new AbortController().signal),
    },
    settings: { stop: { graceS: GRACE_S } },
    closing: new AbortController(),
    ending,
  } as unknown as EntryContext;
  const callers = Object.assign(new EventEmitter(), {
    getConnections: (report: (error: undefined, count: number) => void) =>
      report(undefined, 1),
    close() {},
    closeIdleConnections() {},
    closeAllConnections() {},
  });
  const servers = { callers, internal: [] } as unknown as Servers;
  return { clock, context, servers };
}

// Guards against clients whose connections break, since the process is killed
// before the graceful stop ends: it also waits for the last commits.
it("a graceful stop ends before the process is killed", async () => {
  const { clock, context, servers } = createFixture();
  let hasEnded = false;
  stopEntry(context, servers).then(() => hasEnded = true);
  await clock.advance(GRACE_S * 1_000 - 1);
  assert.ok(context.closing.signal.aborted);
  assert.ok(hasEnded);
});

// Guards against the same, since a successor is searched for among many
// instances that have failed.
it("a graceful stop ends in time although no instance answers", async () => {
  const { clock, context, servers } = createFixture(100);
  let hasEnded = false;
  stopEntry(context, servers).then(() => hasEnded = true);
  await clock.advance(GRACE_S * 1_000 - 1);
  assert.ok(hasEnded);
});
