import assert from "node:assert/strict";
import { it } from "node:test";
import { err } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { StoreHost } from "../hosts/mod.ts";
import { createDirectory } from "./directory.ts";

it("an instance that the store turns away learns the owner from another", async () => {
  const store = {
    owners: () =>
      Promise.resolve(
        err({ kind: "unavailable", step: "store.owners", message: "busy" }),
      ),
  } as unknown as StoreHost;
  const directory = createDirectory({
    store,
    clock: createManualClock(),
    logger: silentLogger,
    group: "g",
    readElsewhere: () => Promise.resolve({ 3: "10.0.0.2:1" }),
    signal: new AbortController().signal,
  });
  assert.equal(await directory.ownerOf(3), "10.0.0.2:1");
});

it("an instance that the store keeps waiting learns the owner from another", async () => {
  const store = {
    owners: () => new Promise(() => {}),
  } as unknown as StoreHost;
  const directory = createDirectory({
    store,
    clock: createManualClock(),
    logger: silentLogger,
    group: "g",
    readElsewhere: () => Promise.resolve({ 3: "10.0.0.2:1" }),
    signal: new AbortController().signal,
  });
  assert.equal(await directory.ownerOf(3), "10.0.0.2:1");
});
