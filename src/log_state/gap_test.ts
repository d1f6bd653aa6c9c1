import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createLogState,
  foldPage,
  needsRepair,
  needsSnapshot,
  takeSnapshot,
} from "./mod.ts";
import {
  appendFake,
  catchUp,
  contentOf,
  createLogFake,
  manifestRecord,
  readFake,
  trimFake,
} from "./log_fake_test.ts";

test("gap: the manifest in force stays until a snapshot tells a later one", () => {
  const log = createLogFake();
  const asleep = createLogState();
  const awake = createLogState();
  const first = appendFake(log, manifestRecord("first", -1));
  catchUp(log, asleep, 10);
  const second = appendFake(log, manifestRecord("second", first));
  catchUp(log, awake, 10);
  trimFake(log, 2);
  const lost = foldPage(asleep, readFake(log, asleep.nextOffset, 10));
  assert.deepEqual(lost, { manifestChanged: false, gap: true });
  assert.equal(asleep.version, first);
  appendFake(log, takeSnapshot(awake));
  const found = foldPage(asleep, readFake(log, asleep.nextOffset, 10));
  assert.deepEqual(found, { manifestChanged: true, gap: false });
  assert.equal(asleep.version, second);
  assert.equal(asleep.synced, true);
});

test("gap: with every reader behind, an incomplete snapshot lets all go on", () => {
  const log = createLogFake();
  const left = createLogState();
  const right = createLogState();
  const first = appendFake(log, manifestRecord("first", -1));
  catchUp(log, left, 10);
  appendFake(log, { kind: "garbage" });
  appendFake(log, { kind: "garbage" });
  trimFake(log, 3);
  const page = catchUp(log, left, 10);
  assert.equal(needsRepair(left, page), true);
  appendFake(log, takeSnapshot(left));
  catchUp(log, left, 10);
  catchUp(log, right, 10);
  assert.equal(right.version, first);
  const second = appendFake(log, manifestRecord("second", first));
  catchUp(log, left, 10);
  catchUp(log, right, 10);
  assert.equal(left.version, second);
  assert.deepEqual(contentOf(right), contentOf(left));
});

test("gap: a complete snapshot is preferred to a later incomplete one", () => {
  const log = createLogFake();
  const awake = createLogState();
  const first = appendFake(log, manifestRecord("first", -1));
  catchUp(log, awake, 10);
  trimFake(log, 1);
  const confused = createLogState();
  catchUp(log, confused, 10);
  appendFake(log, takeSnapshot(awake));
  appendFake(log, takeSnapshot(confused));
  const late = createLogState();
  catchUp(log, late, 10);
  assert.equal(late.version, first);
});

test("gap: a snapshot whose following entries were trimmed is not used", () => {
  const log = createLogFake();
  const awake = createLogState();
  const first = appendFake(log, manifestRecord("first", -1));
  catchUp(log, awake, 10);
  const early = takeSnapshot(awake);
  const second = appendFake(log, manifestRecord("second", first));
  appendFake(log, early);
  catchUp(log, awake, 10);
  trimFake(log, 2);
  const late = createLogState();
  const page = catchUp(log, late, 10);
  assert.equal(late.synced, false);
  assert.equal(needsRepair(late, page), true);
  assert.equal(needsSnapshot(awake, page), true);
  appendFake(log, takeSnapshot(awake));
  catchUp(log, late, 10);
  assert.equal(late.version, second);
});
