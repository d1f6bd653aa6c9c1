import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createInstanceList } from "./instance_list.ts";
import { silentLogger } from "./testing/manual_clock.ts";

const SELF = "self:7380";
const NEAR = "near:7380";
const NEARER = "nearer:7380";
const FAR = "far:7380";
const GONE = "gone:7380";
const NEW = "new:7380";

function announced(key: string, candidateWaitMs: number) {
  return { key, value: JSON.stringify({ candidateWaitMs }) };
}

describe("the rank of an instance as a candidate for ownership", () => {
  it("is unknown before the instance has announced itself", () => {
    const list = createInstanceList(SELF, silentLogger);
    list.apply([announced(NEAR, 10)]);
    assert.equal(list.rank([]), undefined);
  });

  it("counts the better candidates except the excluded ones", () => {
    const list = createInstanceList(SELF, silentLogger);
    list.apply([
      announced(SELF, 100),
      announced(NEAR, 10),
      announced(NEARER, 5),
      announced(FAR, 400),
    ]);
    assert.equal(list.rank([]), 2);
    assert.equal(list.rank([NEAR]), 1);
  });

  it("breaks ties between instances by address", () => {
    const list = createInstanceList("b:1", silentLogger);
    list.apply([
      announced("b:1", 10),
      announced("a:1", 10),
      announced("c:1", 10),
    ]);
    assert.equal(list.rank([]), 1);
  });
});

describe("the announcements of instances that have gone", () => {
  // Guards against a list that keeps removed instances for ever, if the store
  // no longer has the records of their removal.
  it("are dropped if a later snapshot does not contain them", () => {
    const list = createInstanceList(SELF, silentLogger);
    list.replace([announced(SELF, 100), announced(GONE, 5)]);
    assert.equal(list.rank([]), 1);
    list.replace([announced(SELF, 100), announced(NEW, 200)]);
    assert.deepEqual(list.addresses(), [SELF, NEW]);
    assert.equal(list.rank([]), 0);
    assert.deepEqual(list.stopping(), [GONE]);
  });

  it("are known to their own instance until it has announced itself again", () => {
    const list = createInstanceList(SELF, silentLogger);
    list.replace([]);
    assert.equal(list.removedAnnouncement(), undefined);
    list.apply([announced(SELF, 100)]);
    assert.equal(list.removedAnnouncement(), undefined);
    list.apply([{ key: SELF, value: undefined }]);
    assert.equal(list.removedAnnouncement()?.candidateWaitMs, 100);
    list.apply([announced(SELF, 100)]);
    assert.equal(list.removedAnnouncement(), undefined);
  });
});

// Guards against processes that end, or stop following the list, because of one
// odd entry of another writer.
describe("records that are no announcements", () => {
  const DEPTH = 100_000;
  const oddRecords = {
    "with a port out of range": announced("odd:73800", 1),
    "without a port": announced("odd", 1),
    "with a path": announced("odd:7380/path", 1),
    "with a number that reads as Infinity": {
      key: "odd:7380",
      value: '{"candidateWaitMs":-1e999}',
    },
    "with a field of another type": {
      key: "odd:7380",
      value: '{"candidateWaitMs":"1"}',
    },
    "with very deep nesting": {
      key: "odd:7380",
      value: "[".repeat(DEPTH) + "]".repeat(DEPTH),
    },
    "that are not valid JSON": { key: "odd:7380", value: "\u0000" },
  };
  for (const [description, record] of Object.entries(oddRecords)) {
    it(`${description} are left out, with a log entry each`, () => {
      const skipped: unknown[] = [];
      const logger = {
        ...silentLogger,
        warn(_message: string, fields?: Record<string, unknown>) {
          skipped.push(fields?.["key"]);
        },
      };
      const list = createInstanceList(SELF, logger);
      list.replace([record, announced(SELF, 10), announced(FAR, 20)]);
      assert.deepEqual(list.addresses(), [SELF, FAR]);
      assert.equal(list.rank([]), 0);
      assert.deepEqual(skipped, [record.key]);
    });
  }
});
