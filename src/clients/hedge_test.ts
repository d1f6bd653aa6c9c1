import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { hedge } from "./hedge.ts";
import type { FinishedExchange } from "./http_exchange.ts";

const NEVER = new AbortController().signal;
const HEDGE_AFTER_MS = 5;
const LONG_MS = 60_000;

function answered(status: number): FinishedExchange {
  return { kind: "answered", status, body: Buffer.alloc(0) };
}

/** A call whose attempts end only when the test ends them. */
function openCall() {
  const ends: ((exchange: FinishedExchange) => void)[] = [];
  const signals: AbortSignal[] = [];
  let silences = 0;
  let onAttempt = () => {};
  return {
    ends,
    signals,
    silences: () => silences,
    /** Resolves once so many attempts were made. */
    attempts: (count: number) =>
      new Promise<void>((resolve) => {
        onAttempt = () => {
          if (ends.length >= count) resolve();
        };
        onAttempt();
      }),
    attempt(_timeoutMs: number, signal: AbortSignal) {
      signals.push(signal);
      return new Promise<FinishedExchange>((resolve) => {
        ends.push(resolve);
        onAttempt();
      });
    },
    onNoResponse: () => {
      silences += 1;
    },
  };
}

describe("a hedged call", () => {
  it("takes the answer of the first attempt of a slow service", async () => {
    const call = openCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER, call);
    await call.attempts(2);
    call.ends[0]!(answered(200));
    assert.deepEqual(await result, answered(200));
  });

  it("takes the answer of a later attempt where the first is lost", async () => {
    const call = openCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER, call);
    await call.attempts(3);
    call.ends[2]!(answered(200));
    assert.deepEqual(await result, answered(200));
    assert.ok(call.silences() >= 2);
    assert.ok(call.signals.every((signal) => signal.aborted));
  });

  it("waits for the attempts that are left when one fails", async () => {
    const call = openCall();
    const result = hedge(LONG_MS, HEDGE_AFTER_MS, NEVER, call);
    await call.attempts(2);
    call.ends[0]!({ kind: "broken", sent: true, cause: "reset" });
    call.ends[1]!(answered(503));
    assert.deepEqual(await result, answered(503));
  });

  it("counts as sent if any attempt was", async () => {
    const call = openCall();
    const result = hedge(LONG_MS, LONG_MS, NEVER, {
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
