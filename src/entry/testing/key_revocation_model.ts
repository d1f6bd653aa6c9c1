/**
 * A randomized simulation of instances that accept the keys of a configuration
 * while versions revoke and add keys, processes are suspended, wall clocks are
 * set, and the store does not answer some instances. The rules of the instances
 * are the real ones; a part of them can be left out. All derives from a seed.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createRandomness } from "../../clients/mod.ts";
import type { Clock, KeyedRecord, Randomness } from "../../hosts/mod.ts";
import {
  type ClockHistory,
  createClockHistory,
  currentInstant,
  elapsedMs,
} from "../../ownership/mod.ts";
import type { Counters } from "../../telemetry/mod.ts";
import {
  type ClientAuthentication,
  createClientAuthentication,
} from "../client_authentication.ts";
import { createConfigurationState } from "../configuration.ts";
import {
  type ConfigurationIntake,
  createConfigurationIntake,
} from "../configuration_intake.ts";
import { silentLogger } from "./manual_clock.ts";

export const REVOCATION_BOUND_MS = 3_000;
const ADDITION_BOUND_MS = 1_500;
const DURATION_MS = 10_000;
const INSTANCES = 3;
const READ_TIMEOUT_MS = 1_500;
const TICK_MS = 250;
const KEYS_IN_USE = 4;
const UNREADABLE = "unreadable";

/** A part of the rules that a run leaves out; `none` for the real rules. */
export type LeftOut =
  | "none"
  | "own age"
  | "suspension"
  | "clock set back"
  | "age of the peer"
  | "round trip"
  | "unreadable version"
  | "age at an unknown key";

type Instance = {
  clock: Clock & { stepWall(ms: number): void; suspend(ms: number): void };
  intake: ConfigurationIntake;
  clocks: ClockHistory;
  authentication: ClientAuthentication;
  /** Until when nothing runs, in simulated time. */
  suspendedUntilMs: number;
  /** Until when the store does not answer, in simulated time. */
  cutFromMs: number;
  cutUntilMs: number;
  appliedRecords: number;
};

type Version = { record: KeyedRecord; acknowledgedAtMs: number };

type Simulation = {
  nowMs: number;
  random: Randomness;
  leftOut: LeftOut;
  queue: { atMs: number; run: () => void }[];
  versions: Version[];
  violations: string[];
  accepted: number;
};

/** Runs a simulation; returns how it broke the bounds, and what it accepted. */
export function simulateRevocations(
  seed: number,
  leftOut: LeftOut = "none",
): { violations: string[]; accepted: number } {
  const simulation: Simulation = {
    nowMs: 0,
    random: createRandomness(seed),
    leftOut,
    queue: [],
    versions: [],
    violations: [],
    accepted: 0,
  };
  appendVersion(simulation);
  const instances = Array.from(
    { length: INSTANCES },
    () => createInstance(simulation),
  );
  for (const instance of instances) {
    readStore(simulation, instance);
    tick(simulation, instance, instances);
    disturb(simulation, instance);
    call(simulation, instance);
  }
  publish(simulation);
  while (simulation.queue.length > 0) {
    const next = simulation.queue.shift()!;
    if (next.atMs > DURATION_MS) break;
    simulation.nowMs = next.atMs;
    next.run();
  }
  const { violations, accepted } = simulation;
  return { violations, accepted };
}

function createInstance(simulation: Simulation): Instance {
  const { leftOut } = simulation;
  const clock = createClock(simulation);
  const configuration = createConfigurationState();
  const history = createClockHistory(clock);
  const clocks: ClockHistory = {
    observe: history.observe,
    elapsedMs(since) {
      if (leftOut === "suspension") return clock.steadyMs() - since.steadyMs;
      if (leftOut === "clock set back") return elapsedMs(clock, since);
      return history.elapsedMs(since);
    },
  };
  const intake = createConfigurationIntake({
    configuration,
    clocks,
    logger: silentLogger,
    decode,
    onApplied() {},
  });
  const ageMs = () =>
    leftOut === "own age" && Number.isFinite(intake.ageMs())
      ? 0
      : intake.ageMs();
  const authentication = createClientAuthentication({
    configuration,
    intake: { ageMs },
    counters: { count() {} } as unknown as Counters,
    refusals: { add() {} },
    revocationBoundMs: REVOCATION_BOUND_MS,
    additionBoundMs: leftOut === "age at an unknown key"
      ? REVOCATION_BOUND_MS
      : ADDITION_BOUND_MS,
  });
  const isCut = simulation.random.integer(0, 2) === 0;
  const cutFromMs = isCut ? simulation.random.integer(0, 5_000) : Infinity;
  return {
    clock,
    intake,
    clocks,
    authentication,
    suspendedUntilMs: 0,
    cutFromMs,
    cutUntilMs: cutFromMs + simulation.random.integer(1_000, 9_000),
    appliedRecords: 0,
  };
}

/** A clock whose steady reading stops while its machine is suspended. */
function createClock(simulation: Simulation): Instance["clock"] {
  let suspendedMs = 0;
  let wallOffsetMs = simulation.random.integer(0, 100_000);
  return {
    // A suspended process reads neither clock before the suspension has ended.
    steadyMs: () => simulation.nowMs - suspendedMs,
    nowMs: () => simulation.nowMs + wallOffsetMs,
    sleep: () => Promise.resolve(),
    stepWall: (ms) => wallOffsetMs += ms,
    suspend: (ms) => suspendedMs += ms,
  };
}

/** Each version has one key more, and lacks the key of the version before. */
function appendVersion(simulation: Simulation): void {
  const { versions, random, nowMs } = simulation;
  const version = versions.length + 1;
  const isUnreadable = version > 1 && random.integer(0, 7) === 0;
  const value = isUnreadable ? UNREADABLE : `${version}`;
  const record = { key: "config", value };
  versions.push({ record, acknowledgedAtMs: nowMs });
}

function decode({ value }: KeyedRecord) {
  if (value === UNREADABLE) return { reason: UNREADABLE };
  const version = Number(value);
  return {
    configuration: {
      version,
      routes: [],
      maxBodyBytes: 0,
      requiresKeys: true,
      clientAccounts: [{
        name: "a",
        keys: [keyOf(version), "lasting"],
        priority: 0,
        weight: 0,
        cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
      }],
    },
  };
}

function keyOf(version: number): string {
  return `key-${version}`;
}

function publish(simulation: Simulation): void {
  after(simulation, simulation.random.integer(300, 4_000), () => {
    appendVersion(simulation);
    publish(simulation);
  });
}

function readStore(simulation: Simulation, instance: Instance): void {
  const { random, leftOut } = simulation;
  const sentAt = currentInstant(instance.clock);
  after(simulation, random.integer(1, 300), () => {
    const isCut = simulation.nowMs >= instance.cutFromMs &&
      simulation.nowMs < instance.cutUntilMs;
    if (isCut) {
      return onInstance(simulation, instance, READ_TIMEOUT_MS, () => {
        readStore(simulation, instance);
      });
    }
    const read = simulation.versions.length;
    onInstance(simulation, instance, random.integer(1, 1_000), () => {
      const records = simulation.versions
        .slice(instance.appliedRecords, read)
        .map(({ record }) => record);
      instance.appliedRecords = read;
      instance.intake.apply(records);
      const arrivedAt = currentInstant(instance.clock);
      const isUnreadable = records.at(-1)?.value === UNREADABLE;
      if (leftOut === "unreadable version" && isUnreadable) {
        // As if the record had another key.
        instance.intake.apply([{ key: "config", value: "0" }]);
      }
      instance.intake.confirm(leftOut === "round trip" ? arrivedAt : sentAt);
      readStore(simulation, instance);
    });
  });
}

/** Asks another instance now and then while the confirmation is old. */
function tick(
  simulation: Simulation,
  instance: Instance,
  instances: Instance[],
): void {
  onInstance(simulation, instance, TICK_MS, () => {
    instance.clocks.observe();
    if (instance.intake.ageMs() > REVOCATION_BOUND_MS / 2) {
      askPeer(simulation, instance, instances);
    }
    tick(simulation, instance, instances);
  });
}

function askPeer(
  simulation: Simulation,
  instance: Instance,
  instances: Instance[],
): void {
  const { random, leftOut } = simulation;
  const peer = instances[random.integer(0, instances.length - 1)]!;
  const sentAt = currentInstant(instance.clock);
  onInstance(simulation, peer, random.integer(1, 600), () => {
    // The calling instance has the version that it had when it asked, or a later.
    const answer = peer.intake.answer(0);
    onInstance(simulation, instance, random.integer(1, 600), () => {
      instance.intake.applyAnswer(
        leftOut === "round trip" ? currentInstant(instance.clock) : sentAt,
        leftOut === "age of the peer" && answer.ageMs !== undefined
          ? { ...answer, ageMs: 0 }
          : answer,
      );
    });
  });
}

/** Suspends a process or pauses it, or sets its wall clock. */
function disturb(simulation: Simulation, instance: Instance): void {
  const { random } = simulation;
  onInstance(simulation, instance, random.integer(500, 8_000), () => {
    const durationMs = random.integer(100, 5_000);
    switch (random.integer(0, 4)) {
      case 0:
      case 4: {
        instance.suspendedUntilMs = simulation.nowMs + durationMs;
        instance.clock.suspend(durationMs);
        // Whatever the process does first, it compares the clocks.
        after(simulation, durationMs, () => instance.clocks.observe());
        const isSetBack = random.integer(0, 1) === 0;
        if (!isSetBack) break;
        const untilSetBackMs = durationMs + random.integer(0, 100);
        onInstance(simulation, instance, untilSetBackMs, () => {
          stepWall(instance, -durationMs);
        });
        break;
      }
      case 1:
        instance.suspendedUntilMs = simulation.nowMs + durationMs;
        break;
      case 2:
        stepWall(instance, durationMs);
        break;
      default:
        stepWall(instance, -durationMs);
    }
    disturb(simulation, instance);
  });
}

/**
 * Sets a wall clock. A process compares its clocks between the step and the next
 * suspension: two that it sees as one may hide each other.
 */
function stepWall({ clock, clocks }: Instance, ms: number): void {
  clock.stepWall(ms);
  clocks.observe();
}

/** Sends calls with a key that some version had, which may arrive late. */
function call(simulation: Simulation, instance: Instance): void {
  const { random, versions } = simulation;
  after(simulation, random.integer(20, 250), () => {
    const sentAtMs = simulation.nowMs;
    const newest = versions.length;
    const version = random.integer(Math.max(1, newest - KEYS_IN_USE), newest);
    onInstance(simulation, instance, random.integer(1, 100), () => {
      const { kind } = instance.authentication.authenticate(
        Buffer.from(keyOf(version)),
      );
      judge(simulation, { kind, version, sentAtMs });
    });
    call(simulation, instance);
  });
}

function judge(
  simulation: Simulation,
  { kind, version, sentAtMs }: {
    kind: string;
    version: number;
    sentAtMs: number;
  },
): void {
  const { versions, violations } = simulation;
  const added = versions[version - 1]!;
  const revokedAtMs = versions[version]?.acknowledgedAtMs ?? Infinity;
  if (kind === "accepted") {
    simulation.accepted += 1;
    const lateMs = sentAtMs - revokedAtMs - REVOCATION_BOUND_MS;
    if (lateMs > 0) violations.push(`accepted ${lateMs} ms late`);
  }
  const hasKey = added.record.value !== UNREADABLE && revokedAtMs === Infinity;
  const lateMs = sentAtMs - added.acknowledgedAtMs - ADDITION_BOUND_MS;
  if (kind === "unknownKey" && hasKey && lateMs > 0) {
    violations.push(`refused ${lateMs} ms late`);
  }
}

/** Runs something at an instance, once it is not suspended. */
function onInstance(
  simulation: Simulation,
  instance: Instance,
  delayMs: number,
  run: () => void,
): void {
  after(simulation, delayMs, () => {
    const remainingMs = instance.suspendedUntilMs - simulation.nowMs;
    if (remainingMs <= 0) return run();
    onInstance(simulation, instance, remainingMs, run);
  });
}

function after(
  simulation: Simulation,
  delayMs: number,
  run: () => void,
): void {
  const { queue } = simulation;
  const atMs = simulation.nowMs + delayMs;
  let index = queue.length;
  while (index > 0 && queue[index - 1]!.atMs > atMs) index -= 1;
  queue.splice(index, 0, { atMs, run });
}
