import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { policy, step } from "../domain/testing/domain_bench.ts";
import { retryAfterOutageMs } from "./outage_retry.ts";
import type { DomainCall } from "./peer_call.ts";

const MAX_RETRIES = 4;
const ARRIVAL_INTERVAL_MS = 100;
const SECOND_MS = 1_000;

/** A submission of a job with one step of this duration. */
function submission(estimateMs: number): DomainCall {
  return {
    kind: "submit",
    partition: 0,
    request: { id: "a", specification: "", steps: [step({ estimateMs })] },
    policy: policy({ slackFactor: 1, targetCompletionMs: 400 }),
  };
}

/**
 * When a caller that arrives during an outage is accepted, in ms after its
 * start; undefined if its retries are used up before the end.
 */
function acceptedAtMs(
  call: DomainCall,
  arrivalMs: number,
  outageMs: number,
): number | undefined {
  let nowMs = arrivalMs;
  for (let retries = 0; retries <= MAX_RETRIES; retries += 1) {
    if (nowMs >= outageMs) return nowMs;
    const retryAfterMs = retryAfterOutageMs(call, nowMs);
    nowMs += Math.ceil(retryAfterMs / SECOND_MS) * SECOND_MS;
  }
  return undefined;
}

describe("callers return after an outage of the store", () => {
  it("with short jobs within a second of its end, spread over it", () => {
    const outageMs = 4_200;
    const delays = new Set<number>();
    for (let at = 1_000; at < outageMs; at += ARRIVAL_INTERVAL_MS) {
      const accepted = acceptedAtMs(submission(640), at, outageMs);
      assert.ok(accepted !== undefined && accepted < outageMs + SECOND_MS);
      delays.add(accepted);
    }
    assert.ok(delays.size > 5);
  });

  it("with long jobs before their retries are used up", () => {
    const outageMs = 10_000;
    for (let at = 1_000; at < outageMs; at += ARRIVAL_INTERVAL_MS) {
      const accepted = acceptedAtMs(submission(20_000), at, outageMs);
      assert.ok(accepted !== undefined);
    }
  });

  it("to read a state as soon as they may", () => {
    const call = { kind: "state", partition: 0, job: "a" } as const;
    assert.equal(retryAfterOutageMs(call, 9_000), SECOND_MS);
  });
});
