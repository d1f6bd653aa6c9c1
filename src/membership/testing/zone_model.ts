/**
 * A zone of a few instances and workers, driven step by step. Workers keep
 * their own records; instances see each other by heartbeats only.
 *
 * @module
 */
import type { InstanceList } from "../../hosts/mod.ts";
import type { Instance } from "../../model/mod.ts";
import {
  acknowledgeBars,
  advance,
  barHolder,
  barsFor,
  buildHeartbeat,
  createMembership,
  type HeldWorker,
  type Holder,
  holderOf,
  isBarred,
  isSelfBarred,
  isSettled,
  isShared,
  markUsed,
  type Membership,
  receiveHeartbeat,
  receiveList,
  reincarnate,
  setHeld,
} from "../mod.ts";

export const ZONE = "kigali";
const OPTIONS = { deadAfterMs: 3_000, zoneBeatMs: 1_000, remoteBeatMs: 5_000 };
const LOAD = {
  queued: 0,
  queuedByUrgency: [],
  free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  running: 0,
  shapes: [],
};

/** A worker with its own record of what was started there. */
export type FakeWorker = {
  id: string;
  joined: boolean;
  token: number;
  holder: Holder;
  barred: Set<Holder>;
};

/** An instance with the homes of the requests that wait there. */
export type FakeInstance = {
  membership: Membership;
  paused: boolean;
  held: Map<string, number>;
  queue: Holder[];
};

/** The zone, and which incarnations some instance has found settled. */
export type ZoneModel = {
  nowMs: number;
  incarnations: number;
  instances: FakeInstance[];
  workers: FakeWorker[];
  lists: InstanceList[];
  cuts: Set<string>;
  holders: Set<Holder>;
  settled: Set<Holder>;
  violations: string[];
};

/** One step of a schedule; numbers name instances, workers and lists. */
export type ZoneStep = { kind: StepKind; a: number; b: number };

/** The kinds of steps, with what their numbers mean. */
export const STEP_KINDS = [
  "beat",
  "beatAll",
  "advance",
  "list",
  "acquire",
  "acquireAll",
  "renew",
  "renewAll",
  "renewLost",
  "submit",
  "move",
  "moveLost",
  "start",
  "startAll",
  "restart",
  "pause",
  "recover",
  "suspect",
  "cut",
  "join",
] as const;

type StepKind = typeof STEP_KINDS[number];

/** Creates a zone in which everybody knows everybody and the first workers. */
export function createZoneModel(): ZoneModel {
  const zone: ZoneModel = {
    nowMs: 0,
    incarnations: 0,
    instances: [],
    workers: [],
    lists: [],
    cuts: new Set(),
    holders: new Set(),
    settled: new Set(),
    violations: [],
  };
  for (const id of ["w0", "w1", "w2", "w3"]) {
    const joined = id < "w2";
    zone.workers.push({ id, joined, token: 0, holder: "", barred: new Set() });
  }
  for (const id of ["a", "b", "c"]) zone.instances.push(create(zone, id));
  publishList(zone);
  for (const instance of zone.instances) {
    receiveList(instance.membership, zone.lists[0]!, 0);
  }
  for (let round = 0; round < 2; round++) {
    for (const from of [0, 1, 2]) {
      for (const to of [0, 1, 2]) beat(zone, from, to);
    }
  }
  return zone;
}

/** Runs one step, then notes whom any instance finds settled. */
export function runStep(zone: ZoneModel, step: ZoneStep): void {
  zone.nowMs += 1;
  const instance = zone.instances[step.a % zone.instances.length]!;
  const worker = zone.workers[step.b % zone.workers.length]!;
  if (step.kind === "pause") instance.paused = !instance.paused;
  else if (step.kind === "cut") toggleCut(zone, step.a % 3, step.b % 3);
  else if (step.kind === "join") join(zone, worker);
  else if (!instance.paused) act(zone, step, instance, worker);
  noteSettled(zone);
}

function act(
  zone: ZoneModel,
  step: ZoneStep,
  instance: FakeInstance,
  worker: FakeWorker,
): void {
  const { membership } = instance;
  switch (step.kind) {
    case "beat":
      return beat(zone, step.a % 3, step.b % 3);
    case "beatAll":
      for (const to of [0, 1, 2]) beat(zone, step.a % 3, to);
      return;
    case "advance":
      zone.nowMs += step.b * 1_000;
      advance(membership, zone.nowMs);
      return;
    case "list": {
      const list = zone.lists[step.b % zone.lists.length]!;
      return receiveList(membership, list, zone.nowMs);
    }
    case "acquire":
      return acquire(instance, worker);
    case "acquireAll":
      for (const each of zone.workers) acquire(instance, each);
      return;
    case "renewAll":
      for (const each of zone.workers) renew(instance, each, false);
      return;
    case "renew":
    case "renewLost":
      return renew(instance, worker, step.kind === "renewLost");
    case "submit":
      instance.queue.push(holderOf(membership.self));
      return;
    case "move":
    case "moveLost":
      return move(zone, step.a % 3, step.b % 3);
    case "start":
      return start(zone, instance, worker);
    case "startAll":
      for (const each of zone.workers) start(zone, instance, each);
      return;
    case "restart":
      zone.instances[step.a % 3] = create(zone, membership.self.id);
      return;
    case "recover":
      return recover(zone, instance);
    case "suspect": {
      const holder = [...zone.holders][step.b % zone.holders.size]!;
      return barHolder(membership, holder, ZONE);
    }
  }
}

function create(zone: ZoneModel, id: string): FakeInstance {
  const membership = createMembership(identity(zone, id), OPTIONS);
  membership.nowMs = zone.nowMs;
  return { membership, paused: false, held: new Map(), queue: [] };
}

function identity(zone: ZoneModel, id: string): Instance {
  const incarnation = String(++zone.incarnations);
  zone.holders.add(`${id}/${incarnation}`);
  const url = `http://127.0.0.1/${id}`;
  return { id, incarnation, zone: ZONE, region: "rwanda", url };
}

function beat(zone: ZoneModel, from: number, to: number): void {
  const sender = zone.instances[from]!;
  const receiver = zone.instances[to]!;
  if (from === to || receiver.paused || isCut(zone, from, to)) return;
  sender.membership.nowMs = Math.max(sender.membership.nowMs, zone.nowMs);
  const held = heldList(sender);
  const heartbeat = buildHeartbeat(sender.membership, {
    leaving: false,
    version: 0,
    held,
    unreachable: [],
    load: LOAD,
  });
  receiveHeartbeat(receiver.membership, heartbeat, zone.nowMs);
}

function acquire(instance: FakeInstance, worker: FakeWorker): void {
  const holder = holderOf(instance.membership.self);
  if (!instance.membership.workers.has(worker.id)) return;
  if (worker.token > 0) markUsed(instance.membership, worker.id);
  if (!isShared(instance.membership, worker.id)) return;
  if (!worker.joined || worker.barred.has(holder)) return;
  for (const each of barsFor(instance.membership)) worker.barred.add(each);
  worker.token += 1;
  worker.holder = holder;
  hold(instance, worker.id, worker.token);
  // The answer tells the bars, so that every holder of a worker knows them.
  for (const barred of worker.barred) {
    barHolder(instance.membership, barred, ZONE);
  }
}

function renew(
  instance: FakeInstance,
  worker: FakeWorker,
  lost: boolean,
): void {
  if (!instance.held.has(worker.id)) return;
  if (!obeys(worker, instance)) {
    hold(instance, worker.id, undefined);
    return;
  }
  const barred = barsFor(instance.membership, worker.id);
  for (const holder of barred) worker.barred.add(holder);
  if (!lost) acknowledgeBars(instance.membership, worker.id, barred);
}

function hold(
  instance: FakeInstance,
  worker: string,
  token: number | undefined,
): void {
  if (token === undefined) instance.held.delete(worker);
  else instance.held.set(worker, token);
  setHeld(instance.membership, heldList(instance));
}

function heldList(instance: FakeInstance): HeldWorker[] {
  return [...instance.held].map(([worker, token]) => ({ worker, token }));
}

/** Moves the first request; the sender gives it up whatever it hears. */
function move(zone: ZoneModel, from: number, to: number): void {
  const sender = zone.instances[from]!;
  const receiver = zone.instances[to]!;
  const home = sender.queue.shift();
  if (!home || from === to || receiver.paused || isCut(zone, from, to)) return;
  const holder = holderOf(sender.membership.self);
  if (isBarred(receiver.membership, home)) return;
  if (isBarred(receiver.membership, holder)) return;
  receiver.queue.push(home);
}

function start(
  zone: ZoneModel,
  instance: FakeInstance,
  worker: FakeWorker,
): void {
  if (!instance.held.has(worker.id) || !obeys(worker, instance)) return;
  const home = instance.queue.shift();
  if (!home || isBarred(instance.membership, home)) return;
  if (!zone.settled.has(home)) return;
  zone.violations.push(`${worker.id} started work of settled ${home}`);
}

function recover(zone: ZoneModel, instance: FakeInstance): void {
  const { membership } = instance;
  if (!isSelfBarred(membership)) return;
  const old = holderOf(membership.self);
  reincarnate(membership, identity(zone, membership.self.id));
  instance.held.clear();
  instance.queue = instance.queue.filter((home) => home !== old);
}

function obeys(worker: FakeWorker, instance: FakeInstance): boolean {
  const holder = holderOf(instance.membership.self);
  return worker.holder === holder && !worker.barred.has(holder) &&
    worker.token === instance.held.get(worker.id);
}

function join(zone: ZoneModel, worker: FakeWorker): void {
  if (worker.joined) return;
  worker.joined = true;
  publishList(zone);
}

function publishList(zone: ZoneModel): void {
  zone.lists.push({
    asOfMs: zone.lists.length,
    instances: ["a", "b", "c"].map((id) => ({
      id,
      zone: ZONE,
      region: "rwanda",
      url: `http://127.0.0.1/${id}`,
      leaving: false,
    })),
    workers: zone.workers.filter((worker) => worker.joined).map((worker) => ({
      id: worker.id,
      url: `http://127.0.0.1/${worker.id}`,
      zone: ZONE,
      region: "rwanda",
      rack: "r1",
      leaving: false,
    })),
  });
}

function toggleCut(zone: ZoneModel, from: number, to: number): void {
  const cut = `${from}-${to}`;
  if (!zone.cuts.delete(cut)) zone.cuts.add(cut);
}

function isCut(zone: ZoneModel, from: number, to: number): boolean {
  return zone.cuts.has(`${from}-${to}`);
}

function noteSettled(zone: ZoneModel): void {
  for (const { membership } of zone.instances) {
    for (const holder of zone.holders) {
      if (isSettled(membership, holder, [ZONE])) zone.settled.add(holder);
    }
  }
}
