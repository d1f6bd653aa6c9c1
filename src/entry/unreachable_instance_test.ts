import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isUnreachableFor } from "./unreachable_instance.ts";

function answering(answers: Record<string, boolean>) {
  return {
    reach: (via: string) => Promise.resolve<boolean | undefined>(answers[via]),
  };
}

describe("whether an instance is unreachable for others", () => {
  it("needs another instance that answers and does not reach it", async () => {
    const rpc = answering({ near: false });
    assert.equal(await isUnreachableFor(rpc, ["near", "mute"], "x"), true);
    assert.equal(await isUnreachableFor(rpc, ["mute"], "x"), false);
  });

  it("is false if any other instance reaches it", async () => {
    const rpc = answering({ near: false, far: true });
    assert.equal(await isUnreachableFor(rpc, ["near", "far"], "x"), false);
  });

  it("is true without other instances", async () => {
    assert.equal(await isUnreachableFor(answering({}), [], "x"), true);
  });
});
