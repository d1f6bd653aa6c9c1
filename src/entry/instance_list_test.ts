import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createInstanceList } from "./instance_list.ts";

function announced(key: string, candidateWaitMs: number) {
  return { key, value: JSON.stringify({ candidateWaitMs }) };
}

describe("the rank of an instance as a candidate for ownership", () => {
  it("is unknown before the instance has announced itself", () => {
    const list = createInstanceList("self");
    list.apply([announced("near", 10)]);
    assert.equal(list.rank([]), undefined);
  });

  it("counts the better candidates except the excluded ones", () => {
    const list = createInstanceList("self");
    list.apply([
      announced("self", 100),
      announced("near", 10),
      announced("nearer", 5),
      announced("far", 400),
    ]);
    assert.equal(list.rank([]), 2);
    assert.equal(list.rank(["near"]), 1);
  });

  it("breaks ties between instances by address", () => {
    const list = createInstanceList("b");
    list.apply([announced("b", 10), announced("a", 10), announced("c", 10)]);
    assert.equal(list.rank([]), 1);
  });
});
