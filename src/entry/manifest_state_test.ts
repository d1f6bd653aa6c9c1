import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManifestState } from "./manifest_state.ts";

function record(version: number) {
  const manifest = { customers: [], agreements: [] };
  const published = {
    version,
    manifest,
    author: "uwimana",
    changeId: `build-${version}`,
    atMs: 0,
  };
  return { key: "in-force", value: JSON.stringify(published) };
}

describe("the manifest in force", () => {
  it("never returns to an older version, whatever the order of records", () => {
    const state = createManifestState();
    assert.equal(state.applyIfNewer([record(0)]).isNewer, true);
    assert.equal(state.applyIfNewer([record(2)]).isNewer, true);
    assert.equal(state.applyIfNewer([record(1)]).isNewer, false);
    assert.equal(state.applyIfNewer([record(2)]).isNewer, false);
    assert.equal(state.current()?.version, 2);
  });

  it("is kept when a record is unreadable, and the key is reported", () => {
    const state = createManifestState();
    state.applyIfNewer([record(3)]);
    const damaged = { key: "in-force", value: "{" };
    assert.deepEqual(state.applyIfNewer([damaged]), {
      isNewer: false,
      unreadable: ["in-force"],
    });
    assert.equal(state.current()?.version, 3);
  });
});
