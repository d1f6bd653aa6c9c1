import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { hedge } from "./hedge.ts";
import type { FinishedExchange } from "./http_exchange.ts";

const NEVER_ABORTED = new AbortController().signal;
const HEDGE_AFTER_MS = 5;
const LONG_MS = 60_000;

function answered(status: number): FinishedExchange {
  return { kind: "answered", status, body: Buffer.alloc(0) };
}

/** Creates a call whose attempts end only when the test resolves them. */
function createControlledCall() {
  const resolvers: ((exchange: FinishedExchange) => void)[] = [];
  const signals: AbortSignal[] = [];
  let hedgeCount = 0;
  let onAttempt = () => {};
  return {
    resolvers,
    signals,
    hedgeCount: () => hedgeCount,
    /** Resolves once at least `count` attempts were started. */
    waitForAttempts: (count: number) =>
      new Promise<void>((resolve) => {
        onAttempt = () => {
          if (resolvers.length >= count) resolve();
        };
        onAttempt();
      }),
    attempt(_timeoutMs: number, signal: AbortSignal) {
      signals.push(signal);
      return new Promise<FinishedExchange>((resolve) => {
        resolvers.push(resolve);
        onAttempt();
      });
    },
    onNoResponse: () => {
      hedgeCount += 1;
    },
  };
}

describe("a hedged call", () => {
  it("returns the response of the first attempt when the service is slow", async () => {
    const call = createControlledCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER_ABORTED, call);
    await call.waitForAttempts(2);
    call.resolvers[0]!(answered(200));
    assert.deepEqual(await result, answered(200));
  });

  it("returns the response of a later attempt when the first gets none", async () => {
    const call = createControlledCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER_ABORTED, call);
    await call.waitForAttempts(3);
    call.resolvers[2]!(answered(200));
    assert.deepEqual(await result, answered(200));
    assert.ok(call.hedgeCount() >= 2);
    assert.ok(call.signals.every((signal) => signal.aborted));
  });

  it("waits for the remaining attempts when one fails", async () => {
    const call = createControlledCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER_ABORTED, call);
    await call.waitForAttempts(2);
    call.resolvers[0]!({ kind: "broken", sent: true, cause: "reset" });
    call.resolvers[1]!(answered(503));
    assert.deepEqual(await result, answered(503));
  });

  it("reports the call as sent if any attempt was sent", async () => {
    const call = createControlledCall();
    const result = hedge(LONG_MS, LONG_MS, NEVER_ABORTED, {
      ...call,
      attempt: () =>
        Promise.resolve({ kind: "broken", sent: true, cause: "reset" }),
    });
    assert.deepEqual(await result, {
      kind: "broken",
      sent: true,
      cause: "reset",
    });
  });
});
