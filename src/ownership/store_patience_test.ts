import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStorePatience } from "./store_patience.ts";

describe("the patience with the store", () => {
  it("lets a store through that takes longer than the usual timeout", () => {
    const patience = createStorePatience();
    const answerMs = 900;
    let tries = 0;
    while (patience.timeoutMs() < answerMs && tries < 5) {
      patience.noteSilence();
      tries += 1;
    }
    assert.equal(tries, 1);
    patience.noteAnswer(answerMs);
    assert.ok(patience.timeoutMs() >= 2 * answerMs);
  });

  it("is short again once the store answers quickly", () => {
    const patience = createStorePatience();
    patience.noteAnswer(900);
    for (let index = 0; index < 8; index += 1) patience.noteAnswer(5);
    assert.equal(patience.timeoutMs(), 650);
  });

  it("stays bounded while the store is silent", () => {
    const patience = createStorePatience();
    for (let index = 0; index < 20; index += 1) patience.noteSilence();
    assert.equal(patience.timeoutMs(), 3_000);
  });
});
