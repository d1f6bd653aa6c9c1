import assert from "node:assert/strict";
import { it } from "node:test";
import type { EntryContext } from "./entry_context.ts";
import { isReady } from "./readiness.ts";

const SELF = "10.1.0.30:7380";
const PEER = "10.1.0.31:7380";

/** Whether an instance of which the confirmation has some age is ready. */
function isReadyWith(
  { ageMs, isPublic, silentMs = Infinity, addresses = [SELF, PEER] }: {
    ageMs: number;
    isPublic: boolean;
    silentMs?: number;
    addresses?: string[];
  },
): boolean {
  return isReady({
    self: SELF,
    membership: { hasReadMembers: () => true },
    ownerDiscovery: { isComplete: () => true },
    reachability: { isHealthy: () => true },
    stopping: new AbortController(),
    settings: { configuration: { revocationBoundMs: 5_000 } },
    configurationIntake: { ageMs: () => ageMs },
    configuration: {
      current: () => ({
        requiresKeys: true,
        routes: [{ isPublic: false }, { isPublic }],
      }),
    },
    instances: { addresses: () => addresses },
    peerContact: {
      silentMs: (peer: string) => peer === PEER ? silentMs : Infinity,
    },
  } as unknown as EntryContext);
}

const OLD = { ageMs: 60_000 };

it("an instance that refuses all keys is not ready", () => {
  assert.equal(isReadyWith({ ageMs: 4_700, isPublic: false }), true);
  assert.equal(isReadyWith({ ...OLD, isPublic: false, silentMs: 0 }), false);
});

// Guards against all instances leaving rotation in an outage of the store, so
// that a balancer has none for public queues, which they could all serve.
it("instances with public queues stay ready in an outage of the store", () => {
  const instance = { ...OLD, isPublic: true };
  assert.equal(isReadyWith({ ...instance, silentMs: 1_500 }), true);
  assert.equal(isReadyWith({ ...instance, addresses: [SELF] }), true);
  assert.equal(isReadyWith({ ...instance, silentMs: 60_000 }), false);
});
