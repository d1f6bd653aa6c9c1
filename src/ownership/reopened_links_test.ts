import assert from "node:assert/strict";
import { it } from "node:test";
import { createDomain, type DomainEvent } from "../domain/mod.ts";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import { createIncarnations } from "./incarnations.ts";
import { currentInstant } from "./instant.ts";
import { reconcileLinks } from "./owner_links.ts";
import type { OwnerState } from "./owner_state.ts";

const WORKER = { id: "w", address: "10.0.0.1:1", zone: "a", service: "desk" };

// Guards against tasks that keep their place for ever, because the orders of
// the closed link were neither sent again nor known to be lost.
it("a link that is replaced for a new address loses its orders", () => {
  const clock = createManualClock();
  const { signal } = new AbortController();
  const confirmedAt = currentInstant(clock);
  const events: DomainEvent["kind"][] = [];
  const listed = { ...WORKER };
  const state = {
    host: {
      clock,
      logger: silentLogger,
      signal,
      epoch: 1,
      leaseMs: 5_000,
      ownershipValidMs: 10_000,
      confirmedAt: () => confirmedAt,
      servesDomain: () => true,
      workerList: { workers: () => [listed], hasLeft: () => false },
      tasks: { poll: () => new Promise(() => {}) },
    },
    writer: { confirmedAt: () => confirmedAt },
    domain: createDomain({ endedJobKeepMs: 1_000 }),
    links: new Map(),
    incarnations: createIncarnations({
      clock,
      maxLeaseMs: 10_000,
      hasEarlierOwners: false,
      startPermits: new Map(),
    }),
    events: { emit: ({ kind }: DomainEvent) => events.push(kind) },
  } as unknown as OwnerState;
  reconcileLinks(state);
  const first = state.links.get("w");
  assert.deepEqual(events.splice(0), ["workersListed"]);
  listed.address = "10.0.0.2:1";
  reconcileLinks(state);
  assert.equal(first?.controller.signal.aborted, true);
  assert.equal(state.links.get("w")?.link.address, "10.0.0.2:1");
  assert.deepEqual(events, ["workersListed", "linkReopened"]);
});
