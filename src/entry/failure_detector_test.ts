import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFailureDetector } from "./failure_detector.ts";

const OWNER = "10.1.0.30:7380";

describe("the failure detector", () => {
  it("lets the best candidate suspect an owner after two unanswered probes", () => {
    const detector = createFailureDetector();
    detector.recordProbe(OWNER, false);
    assert.equal(detector.isSuspected(OWNER, 0), false);
    detector.recordProbe(OWNER, false);
    assert.equal(detector.isSuspected(OWNER, 0), true);
  });

  it("makes the next candidate wait for one more unanswered probe", () => {
    const detector = createFailureDetector();
    for (let count = 0; count < 2; count += 1) {
      detector.recordProbe(OWNER, false);
    }
    assert.equal(detector.isSuspected(OWNER, 1), false);
    detector.recordProbe(OWNER, false);
    assert.equal(detector.isSuspected(OWNER, 1), true);
  });

  it("clears the count of unanswered probes on an answer", () => {
    const detector = createFailureDetector();
    detector.recordProbe(OWNER, false);
    detector.recordProbe(OWNER, true);
    detector.recordProbe(OWNER, false);
    assert.equal(detector.isSuspected(OWNER, 0), false);
  });
});
