import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { describe, it } from "node:test";
import type { DomainOwner } from "../ownership/mod.ts";
import { discoverOwners } from "./owner_discovery.ts";
import { createManualClock } from "./testing/manual_clock.ts";

const SELF = "10.0.0.1:1";
const OTHER = "10.0.0.2:1";

/** A discovery whose inputs a test changes while it runs. */
function startDiscovery() {
  const controller = new AbortController();
  const inputs = {
    partitions: new Set<number>(),
    owners: new Map<number, string>(),
    owned: new Set<number>(),
    hasReadWorkers: false,
  };
  const clock = createManualClock();
  const discovery = discoverOwners({
    clock: { ...clock, sleep: () => setImmediate() },
    directory: {
      ownerOf: (partition) => Promise.resolve(inputs.owners.get(partition)),
    },
    ownedDomains: {
      ownerOf: (partition) =>
        Promise.resolve(
          inputs.owned.has(partition) ? {} as DomainOwner : undefined,
        ),
    },
    workers: { hasBeenRead: () => inputs.hasReadWorkers },
    self: SELF,
    partitionsInUse: () => inputs.partitions,
    signal: controller.signal,
  });
  return { inputs, discovery, end: () => controller.abort() };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await setImmediate();
}

describe("the discovery of owners", () => {
  it("waits for the configuration and for an owner of each domain", async () => {
    const { inputs, discovery, end } = startDiscovery();
    await settle();
    assert.equal(discovery.isComplete(), false);
    inputs.partitions = new Set([0, 3]);
    inputs.owners.set(0, OTHER);
    await settle();
    assert.equal(discovery.isComplete(), false);
    inputs.owners.set(3, OTHER);
    await settle();
    assert.equal(discovery.isComplete(), true);
    end();
  });

  it("waits for the takeover and the workers of an own domain", async () => {
    const { inputs, discovery, end } = startDiscovery();
    inputs.partitions = new Set([0]);
    inputs.owners.set(0, SELF);
    await settle();
    assert.equal(discovery.isComplete(), false);
    inputs.owned.add(0);
    await settle();
    assert.equal(discovery.isComplete(), false);
    inputs.hasReadWorkers = true;
    await settle();
    assert.equal(discovery.isComplete(), true);
    end();
  });

  it("stays complete when an owner is lost later", async () => {
    const { inputs, discovery, end } = startDiscovery();
    inputs.partitions = new Set([0]);
    inputs.owners.set(0, OTHER);
    await settle();
    inputs.owners.clear();
    await settle();
    assert.equal(discovery.isComplete(), true);
    end();
  });
});
