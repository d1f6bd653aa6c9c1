import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import type { KeyedRecord } from "../hosts/mod.ts";
import { createInstanceList } from "./instance_list.ts";
import { createPeerContact } from "./peer_contact.ts";
import {
  type InstanceRemovalHost,
  removeGoneInstances,
} from "./remove_gone_instances.ts";
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
