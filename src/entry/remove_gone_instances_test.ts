import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { ok } from "neverthrow";
import type { KeyedRecord } from "../hosts/mod.ts";
import { createInstanceList } from "./instance_list.ts";
import { createPeerContact } from "./peer_contact.ts";
import {
  checkAllInstances,
  type InstanceRemovalHost,
  removeGoneInstances,
} from "./remove_gone_instances.ts";
import { createSilentInstances } from "./silent_instances.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const SELF = "127.0.0.1:7380";
/** No process listens on this port. */
const GONE = "127.0.0.1:1";

/** Checks for a minute, and returns the keys whose records were removed. */
async function runChecks(
  { ownedDomains, gone = [GONE] }: { ownedDomains: number; gone?: string[] },
): Promise<string[]> {
  const clock = createManualClock();
  const stopping = new AbortController();
  const instances = createInstanceList(SELF, silentLogger);
  const value = JSON.stringify({ candidateWaitMs: 10 });
  instances.apply([SELF, ...gone].map((key) => ({ key, value })));
  const removed: string[] = [];
  const host = {
    clock: {
      ...clock,
      async sleep(delayMs: number, signal: AbortSignal) {
        await clock.sleep(delayMs, signal);
        if (clock.steadyMs() > 60_000) stopping.abort();
      },
    },
    stopping,
    self: SELF,
    instances,
    ownedDomains: { count: () => ownedDomains },
    peerContact: createPeerContact(clock),
    silentInstances: createSilentInstances(clock),
    rpc: { reach: () => Promise.resolve(undefined) },
    logger: { part: () => silentLogger },
    platform: {
      store: {
        append(_partition: unknown, records: KeyedRecord[]) {
          instances.apply(records);
          removed.push(...records.map(({ key }) => key));
          return Promise.resolve(ok(undefined));
        },
      },
    },
  };
  await removeGoneInstances(host as unknown as InstanceRemovalHost);
  return removed;
}

describe("the removal of instances that have gone", () => {
  // Guards against announcements that outlive their instances, each of which
  // delays the next owner and the advice that is requested through it.
  it("removes an instance that nobody reaches, once", async () => {
    assert.deepEqual(await runChecks({ ownedDomains: 1 }), [GONE]);
  });

  it("does not happen at an instance that reaches no other one", async () => {
    const gone = [GONE, "127.0.0.1:2"];
    assert.deepEqual(await runChecks({ ownedDomains: 1, gone }), []);
  });

  it("is left to instances that own domains", async () => {
    assert.deepEqual(await runChecks({ ownedDomains: 0 }), []);
  });
});

// Guards against SHORT: after a series of lost owners, each new one relied on
// those that were lost before. A third of the workers waited a second for each.
describe("the check of all instances before a takeover", () => {
  /** Checks a lost instance and one that listens; returns what was found. */
  async function check(
    { reachedByOthers }: { reachedByOthers: boolean | undefined },
  ) {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const listening = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const clock = createManualClock();
    const instances = createInstanceList(SELF, silentLogger);
    const value = JSON.stringify({ candidateWaitMs: 10 });
    instances.apply([SELF, GONE, listening].map((key) => ({ key, value })));
    const silentInstances = createSilentInstances(clock);
    const removed: string[] = [];
    const asked: string[] = [];
    const host = {
      clock,
      stopping: new AbortController(),
      self: SELF,
      instances,
      silentInstances,
      peerContact: createPeerContact(clock),
      rpc: {
        reach(via: string) {
          asked.push(via);
          return Promise.resolve(reachedByOthers);
        },
      },
      logger: { part: () => silentLogger },
      platform: {
        store: {
          append(_partition: unknown, records: KeyedRecord[]) {
            removed.push(...records.map(({ key }) => key));
            return Promise.resolve(ok(undefined));
          },
        },
      },
    };
    await checkAllInstances(host as unknown as InstanceRemovalHost);
    for (let turn = 0; turn < 10; turn += 1) await setImmediate();
    server.close();
    return {
      silent: [GONE, listening].filter(silentInstances.isSilent),
      elapsedMs: clock.steadyMs(),
      asked: asked.map((via) => via === listening ? "listening" : via),
      removed,
    };
  }

  it("finds those that have gone, and removes what others miss, too", async () => {
    assert.deepEqual(await check({ reachedByOthers: false }), {
      silent: [GONE],
      elapsedMs: 0,
      asked: ["listening"],
      removed: [GONE],
    });
  });

  it("removes no instance that others reach, or may reach", async () => {
    for (const reachedByOthers of [true, undefined]) {
      const { silent, removed } = await check({ reachedByOthers });
      assert.deepEqual(silent, [GONE]);
      assert.deepEqual(removed, []);
    }
  });
});
