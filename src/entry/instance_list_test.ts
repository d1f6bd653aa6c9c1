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

describe("the announcements of instances that have gone", () => {
  // Guards against a list that keeps removed instances for ever, if the store
  // no longer has the records of their removal.
  it("are dropped if a later snapshot does not contain them", () => {
    const list = createInstanceList("self");
    list.replace([announced("self", 100), announced("gone", 5)]);
    assert.equal(list.rank([]), 1);
    list.replace([announced("self", 100), announced("new", 200)]);
    assert.deepEqual(list.addresses(), ["self", "new"]);
    assert.equal(list.rank([]), 0);
    assert.deepEqual(list.stopping(), ["gone"]);
  });

  it("are known to their own instance until it has announced itself again", () => {
    const list = createInstanceList("self");
    list.replace([]);
    assert.equal(list.removedAnnouncement(), undefined);
    list.apply([announced("self", 100)]);
    assert.equal(list.removedAnnouncement(), undefined);
    list.apply([{ key: "self", value: undefined }]);
    assert.equal(list.removedAnnouncement()?.candidateWaitMs, 100);
    list.apply([announced("self", 100)]);
    assert.equal(list.removedAnnouncement(), undefined);
  });
});
