import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { StoreHost } from "../hosts/mod.ts";
import { createDirectory } from "./directory.ts";

const OWNER = "10.0.0.2:1";

/** A directory on a store with the given `owners` call. */
function directoryOver(owners: () => Promise<unknown>) {
  return createDirectory({
    store: { owners } as unknown as StoreHost,
    clock: createManualClock(),
    logger: silentLogger,
    group: "g",
    readFromPeers: () => Promise.resolve({ 3: OWNER }),
    signal: new AbortController().signal,
  });
}

describe("a directory reads the owners through a peer", () => {
  it("if the store refuses the call", async () => {
    const refusal = { kind: "unavailable", step: "store.owners", message: "" };
    const directory = directoryOver(() => Promise.resolve(err(refusal)));
    assert.equal(await directory.ownerOf(3), OWNER);
  });

  it("if the store does not answer", async () => {
    const directory = directoryOver(() => new Promise(() => {}));
    assert.equal(await directory.ownerOf(3), OWNER);
  });
});

describe("an owner that announces itself", () => {
  it("ends the wait for a change of the former owner", async () => {
    const directory = directoryOver(() => new Promise(() => {}));
    const { signal } = new AbortController();
    directory.recordOwner(3, "former", 4);
    const changed = directory.waitForOwnerChange(3, "former", signal);
    directory.recordOwner(3, "next", 5);
    await changed;
    assert.equal(await directory.ownerOf(3), "next");
  });

  it("is ignored if it has an older epoch than the known owner", () => {
    const directory = directoryOver(() => new Promise(() => {}));
    directory.recordOwner(3, "next", 5);
    directory.recordOwner(3, "former", 4);
    assert.equal(directory.knownOwners()[3], "next");
  });

  // Guards against calls that find no owner while one serves the domain: it has
  // left the group, since it is stopping, and has no successor yet.
  it("is called after it has left the group, until it refuses", async () => {
    const directory = directoryOver(() => Promise.resolve(ok([])));
    directory.recordOwner(3, "stopping", 4);
    await directory.refresh();
    assert.deepEqual(directory.knownOwners(), {});
    assert.equal(await directory.ownerOf(3), "stopping");
    directory.forgetOwner(3, "stopping");
    assert.equal(await directory.ownerOf(3), undefined);
  });
});
