import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSuspicion } from "./suspicion.ts";

const OWNER = "10.1.0.30:7380";

describe("the suspicion of an owner", () => {
  it("has the best candidate act after two unanswered probes", () => {
    const suspicion = createSuspicion();
    suspicion.note(OWNER, false);
    assert.equal(suspicion.isDue(OWNER, 0), false);
    suspicion.note(OWNER, false);
    assert.equal(suspicion.isDue(OWNER, 0), true);
  });

  it("has the next candidate act only if the best one does not", () => {
    const suspicion = createSuspicion();
    for (let count = 0; count < 2; count += 1) suspicion.note(OWNER, false);
    assert.equal(suspicion.isDue(OWNER, 1), false);
    suspicion.note(OWNER, false);
    assert.equal(suspicion.isDue(OWNER, 1), true);
  });

  it("ends with an answer", () => {
    const suspicion = createSuspicion();
    suspicion.note(OWNER, false);
    suspicion.note(OWNER, true);
    suspicion.note(OWNER, false);
    assert.equal(suspicion.isDue(OWNER, 0), false);
  });
});
