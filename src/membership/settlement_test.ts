import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Holder,
  holderOf,
  isBarred,
  isSelfBarred,
  isSettled,
  isShared,
  knownWorkers,
  receiveList,
  reportedWorkers,
} from "./mod.ts";
import {
  createZoneModel,
  runStep,
  STEP_KINDS,
  ZONE,
  type ZoneModel,
} from "./testing/zone_model.ts";

type Kind = typeof STEP_KINDS[number];

const [A, B, C] = [0, 1, 2];

test("settlement: a silent member is settled after its workers moved", () => {
  const zone = createZoneModel();
  run(zone, "acquireAll", C);
  const dead = holder(zone, C);
  run(zone, "pause", C);
  silence(zone);
  assert.ok(isBarred(membership(zone, A), dead));
  run(zone, "acquireAll", A);
  run(zone, "beatAll", A);
  run(zone, "beatAll", B);
  assert.equal(isSettled(membership(zone, A), dead, [ZONE]), false);
  run(zone, "renewAll", A);
  run(zone, "beatAll", A);
  assert.ok(isSettled(membership(zone, A), dead, [ZONE]));
  assert.ok(isSettled(membership(zone, B), dead, [ZONE]));
});

test("settlement: one worker without the bar holds it up", () => {
  const zone = createZoneModel();
  run(zone, "acquireAll", C);
  run(zone, "pause", C);
  silence(zone);
  run(zone, "acquireAll", A);
  run(zone, "renew", A, 0);
  run(zone, "beatAll", B);
  assert.equal(isSettled(membership(zone, A), holder(zone, C), [ZONE]), false);
  run(zone, "renew", A, 1);
  assert.ok(isSettled(membership(zone, A), holder(zone, C), [ZONE]));
});

test("settlement: a live peer that does not bar holds it up", () => {
  const zone = createZoneModel();
  run(zone, "acquireAll", C);
  run(zone, "pause", C);
  run(zone, "suspect", A, indexOf(zone, holder(zone, C)));
  run(zone, "acquireAll", A);
  run(zone, "renewAll", A);
  assert.equal(isSettled(membership(zone, A), holder(zone, C), [ZONE]), false);
  run(zone, "beatAll", A);
  run(zone, "beatAll", B);
  assert.ok(isSettled(membership(zone, A), holder(zone, C), [ZONE]));
});

test("settlement: a worker that only a peer knows counts", () => {
  const zone = createZoneModel();
  run(zone, "acquireAll", C);
  run(zone, "join", A, 2);
  run(zone, "list", B, 1);
  run(zone, "pause", C);
  silence(zone);
  run(zone, "beatAll", B);
  assert.deepEqual(knownWorkers(membership(zone, A), ZONE), ["w0", "w1", "w2"]);
  for (const worker of [0, 1]) run(zone, "acquire", A, worker);
  run(zone, "renewAll", A);
  run(zone, "beatAll", A);
  run(zone, "beatAll", B);
  const dead = holder(zone, C);
  assert.equal(isSettled(membership(zone, A), dead, [ZONE]), false);
  run(zone, "acquire", A, 2);
  run(zone, "renewAll", A);
  assert.ok(isSettled(membership(zone, A), dead, [ZONE]));
});

test("settlement: a worker that left a newer list is not waited for", () => {
  const zone = createZoneModel();
  run(zone, "acquireAll", C);
  run(zone, "pause", C);
  silence(zone);
  run(zone, "acquire", A, 0);
  run(zone, "renewAll", A);
  run(zone, "beatAll", B);
  const dead = holder(zone, C);
  assert.equal(isSettled(membership(zone, A), dead, [ZONE]), false);
  const list = structuredClone(zone.lists[0]!);
  list.workers = list.workers.filter((worker) => worker.id === "w0");
  receiveList(membership(zone, A), list, zone.nowMs);
  assert.equal(isSettled(membership(zone, A), dead, [ZONE]), false);
  receiveList(membership(zone, A), { ...list, asOfMs: 9 }, zone.nowMs);
  assert.ok(isSettled(membership(zone, A), dead, [ZONE]));
  assert.deepEqual(knownWorkers(membership(zone, A), ZONE), ["w0"]);
  assert.deepEqual(reportedWorkers(membership(zone, A), ZONE), ["w0", "w1"]);
  receiveList(membership(zone, B), { ...list, asOfMs: 9 }, zone.nowMs);
  run(zone, "beatAll", B);
  assert.deepEqual(reportedWorkers(membership(zone, A), ZONE), ["w0"]);
});

test("settlement: a listed instance that was never heard holds it up", () => {
  const zone = createZoneModel();
  const [older] = [holder(zone, C)];
  run(zone, "restart", A);
  run(zone, "list", A, 0);
  run(zone, "advance", A, 4);
  run(zone, "acquireAll", A);
  run(zone, "suspect", A, indexOf(zone, older));
  run(zone, "renewAll", A);
  assert.equal(isSettled(membership(zone, A), older, [ZONE]), false);
  run(zone, "beatAll", B);
  run(zone, "beatAll", C);
  run(zone, "beatAll", A);
  run(zone, "beatAll", B);
  run(zone, "renewAll", A);
  assert.ok(isSettled(membership(zone, A), older, [ZONE]));
});

test("bars: a member that a live peer still hears is not barred", () => {
  const zone = createZoneModel();
  run(zone, "cut", C, A);
  for (let round = 0; round < 8; round++) {
    run(zone, "advance", A, 1);
    for (const from of [A, B, C]) run(zone, "beatAll", from);
    run(zone, "advance", A, 0);
  }
  assert.equal(isBarred(membership(zone, A), holder(zone, C)), false);
  run(zone, "cut", C, B);
  silence(zone);
  assert.ok(isBarred(membership(zone, A), holder(zone, C)));
});

test("bars: after a cut both ways each side gives up its incarnation", () => {
  const zone = createZoneModel();
  run(zone, "pause", B);
  for (const [from, to] of [[A, C], [C, A]] as const) {
    run(zone, "cut", from, to);
  }
  run(zone, "advance", A, 4);
  run(zone, "advance", C, 0);
  const [first, second] = [holder(zone, A), holder(zone, C)];
  assert.ok(isBarred(membership(zone, A), second));
  assert.ok(isBarred(membership(zone, C), first));
  for (const [from, to] of [[A, C], [C, A]] as const) {
    run(zone, "cut", from, to);
  }
  for (const from of [A, C]) run(zone, "beatAll", from);
  assert.ok(isSelfBarred(membership(zone, A)));
  assert.ok(isSelfBarred(membership(zone, C)));
  assert.equal(isSettled(membership(zone, A), second, [ZONE]), false);
  for (const each of [A, C]) run(zone, "recover", each);
  for (const from of [A, C]) run(zone, "beatAll", from);
  assert.equal(isSelfBarred(membership(zone, A)), false);
  assert.equal(isSelfBarred(membership(zone, C)), false);
});

test("bars: a new incarnation bars the one that it replaces", () => {
  const zone = createZoneModel();
  const old = holder(zone, C);
  run(zone, "restart", C);
  run(zone, "beatAll", C);
  assert.ok(isBarred(membership(zone, A), old));
  assert.equal(isBarred(membership(zone, A), holder(zone, C)), false);
});

test("bars: a restarted peer learns them from the workers", () => {
  const zone = createZoneModel();
  run(zone, "submit", A);
  run(zone, "acquireAll", C);
  run(zone, "advance", C, 3);
  run(zone, "renewAll", C);
  assert.ok(zone.settled.has(holder(zone, A)));
  run(zone, "restart", C);
  run(zone, "list", C, 0);
  run(zone, "acquireAll", C);
  run(zone, "move", A, C);
  run(zone, "start", C, 0);
  assert.deepEqual(zone.violations, []);
});

test("shared: a worker is used once every peer of the zone knows it", () => {
  const zone = createZoneModel();
  run(zone, "join", A, 2);
  run(zone, "list", A, 1);
  assert.equal(isShared(membership(zone, A), "w2"), false);
  run(zone, "beatAll", A);
  run(zone, "beatAll", B);
  assert.equal(isShared(membership(zone, A), "w2"), false);
  run(zone, "beatAll", C);
  assert.ok(isShared(membership(zone, A), "w2"));
});

/** A and B hear each other, and nobody else, until the limit has passed. */
function silence(zone: ZoneModel): void {
  for (let round = 0; round < 5; round++) {
    run(zone, "advance", A, 1);
    run(zone, "advance", B, 0);
    run(zone, "beatAll", A);
    run(zone, "beatAll", B);
  }
}

function run(zone: ZoneModel, kind: Kind, a: number, b = 0): void {
  runStep(zone, { kind, a, b });
}

function membership(zone: ZoneModel, index: number) {
  return zone.instances[index]!.membership;
}

function holder(zone: ZoneModel, index: number): Holder {
  return holderOf(membership(zone, index).self);
}

function indexOf(zone: ZoneModel, wanted: Holder): number {
  return [...zone.holders].indexOf(wanted);
}
