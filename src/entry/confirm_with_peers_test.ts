/**
 * Guards against an instance that refuses all keys while the store refuses it and
 * serves others, and against questions that grow with an outage.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { createClockHistory } from "../ownership/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import { confirmWithPeers } from "./confirm_with_peers.ts";
import { createConfigurationState } from "./configuration.ts";
import { createConfigurationIntake } from "./configuration_intake.ts";
import type { ConfigurationAnswer } from "./peer_call.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const PEERS = ["a", "b", "c", "d", "e"];
const DURATION_MS = 30_000;

/** Runs an instance that never reads the store; returns what it asked when. */
async function run(
  hasAccounts: boolean,
  answerOf: (peer: string) => ConfigurationAnswer | undefined,
) {
  const controller = new AbortController();
  const manualClock = createManualClock();
  const clock = {
    ...manualClock,
    async sleep(delayMs: number, signal: AbortSignal) {
      await manualClock.sleep(delayMs, signal);
      if (manualClock.steadyMs() > DURATION_MS) controller.abort();
    },
  };
  const configuration = createConfigurationState();
  const intake = createConfigurationIntake({
    configuration,
    clocks: createClockHistory(clock),
    logger: silentLogger,
    decode: ({ value }) => ({
      configuration: {
        version: Number(value),
        routes: [],
        maxBodyBytes: 0,
        requiresKeys: hasAccounts,
        clientAccounts: !hasAccounts ? [] : [{
          name: "press",
          keys: [`key-${value}`],
          priority: 0,
          weight: 0,
          cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        }],
      },
    }),
    onApplied() {},
  });
  intake.apply([{ key: "config", value: "1" }]);
  const entries: string[] = [];
  const asked: { peer: string; atMs: number }[] = [];
  let oldestMs = 0;
  await confirmWithPeers({
    clock,
    logger: { ...silentLogger, info: (message) => entries.push(message) },
    counters: createCounters(),
    configuration,
    intake,
    revocationBoundMs: 5_000,
    peers: () => {
      oldestMs = Math.max(
        oldestMs,
        clock.steadyMs() > 5_000 ? intake.ageMs() : 0,
      );
      return PEERS;
    },
    ask(peer) {
      asked.push({ peer, atMs: clock.steadyMs() });
      return Promise.resolve(answerOf(peer));
    },
    signal: controller.signal,
  });
  return { asked, entries, oldestMs, configuration };
}

it("pattern: an instance without the store is confirmed by the one that can", async () => {
  const { asked, entries, oldestMs, configuration } = await run(
    true,
    (peer) => {
      if (peer === "d") {
        return {
          version: 2,
          ageMs: 600,
          record: { key: "config", value: "2" },
        };
      }
      return peer === "b" ? { version: 1, ageMs: 9_000 } : undefined;
    },
  );
  assert.equal(configuration.current()?.version, 2);
  assert.ok(oldestMs < 3_000, `${oldestMs} ms`);
  // Once found, it alone is asked, and only when its last answer gets old.
  const later = asked.filter(({ atMs }) => atMs > 5_000);
  assert.deepEqual([...new Set(later.map(({ peer }) => peer))], ["d"]);
  assert.ok(later.length <= 20, `${later.length} questions`);
  assert.equal(entries.length, 1);
});

it("pattern: in an outage of the store, few questions are asked", async () => {
  const { asked } = await run(true, () => ({ version: 1, ageMs: 60_000 }));
  assert.ok(asked.length <= 3 * (DURATION_MS / 1_000 + 3), `${asked.length}`);
  assert.deepEqual([...new Set(asked.map(({ peer }) => peer))].sort(), PEERS);
});

it("a newer version that cannot be read confirms nothing", async () => {
  const { configuration } = await run(true, () => ({ version: 3, ageMs: 10 }));
  assert.equal(configuration.confirmation(), undefined);
});

it("nothing is asked where there are no client accounts", async () => {
  const { asked } = await run(false, () => undefined);
  assert.deepEqual(asked, []);
});
