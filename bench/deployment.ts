/**
 * The deployments that the benchmarks run: both users' of today and the size
 * to design for.
 *
 * @module
 */
import type {
  Policy,
  Resources,
  WorkerAddress,
  WorkerCapacity,
} from "../src/model/mod.ts";

/** A stream of requests of one kind of work. */
export type Work = {
  name: string;
  policy: Policy;
  urgency: number;
  idempotent: boolean;
  demand: Resources;
  durationMs: number;
  /** Tasks of one request. */
  tasks: number;
  /** Part of its group's offered load, from 0 to 1. */
  part: number;
  /** Among how many agreements the requests are divided. */
  agreements: number;
  /** How long a checkpoint takes; undefined where it never succeeds. */
  checkpointMs: number | undefined;
};

/** A worker as it joins. */
export type BenchWorker = { address: WorkerAddress; capacity: WorkerCapacity };

/** Workers and the work that runs on them. */
export type Deployment = {
  name: string;
  workers: BenchWorker[];
  /** Replicas of services that run all the time, each one request. */
  services: { count: number; replicas: number; demand: Resources };
  work: Work[];
  /** Virtual time before the measured stretch, in milliseconds. */
  warmUpMs: number;
  /** Virtual time that is measured, in milliseconds. */
  measuredMs: number;
};

const GIB = 1024;

/** The press: an order desk, and portrait imaging with accelerators. */
export function press(): Deployment {
  return {
    name: "press",
    workers: [
      ...makeWorkers("desk", 24, 5, resources(32, 128, 0), 8),
      ...makeWorkers("imaging", 10, 3, resources(128, 512, 8), 8),
    ],
    services: { count: 2, replicas: 6, demand: resources(2, 8, 0) },
    work: [
      batch("proof", 9, 0.35, resources(4, 12, 0), 1_500, { idempotent: true }),
      batch("memorial-run", 6, 0.25, resources(6, 24, 0), 12_000, { tasks: 8 }),
      batch("archive", 1, 0.4, resources(4, 16, 0), 20_000, {
        idempotent: true,
        tasks: 6,
      }),
      batch("retouch", 5, 0.7, resources(12, 48, 1), 8_000, {
        idempotent: true,
        tasks: 3,
      }),
      gang("train", 3, 0.3, resources(12, 48, 1), 20_000, 6),
    ],
    warmUpMs: 120_000,
    measuredMs: 300_000,
  };
}

/** The co-operative: receipting, and form scanning with accelerators. */
export function cooperative(): Deployment {
  return {
    name: "cooperative",
    workers: [
      ...makeWorkers("receipting", 24, 5, resources(64, 256, 0), 8),
      ...makeWorkers("scanning", 10, 3, resources(64, 128, 8), 8),
    ],
    services: { count: 2, replicas: 6, demand: resources(4, 16, 0) },
    work: [
      batch("receipt", 8, 0.35, resources(6, 24, 0), 800),
      batch("statement", 4, 0.25, resources(12, 48, 0), 10_000, {
        idempotent: true,
        tasks: 8,
      }),
      batch("archive", 1, 0.4, resources(8, 32, 0), 20_000, {
        idempotent: true,
        tasks: 6,
      }),
      batch("scan", 6, 0.7, resources(7, 14, 1), 4_000, {
        idempotent: true,
        tasks: 2,
      }),
      gang("recognise", 2, 0.3, resources(7, 14, 1), 15_000, 8),
    ],
    warmUpMs: 120_000,
    measuredMs: 300_000,
  };
}

/** The size to design for: 1,000 workers, 1,900 accelerators, 280 teams. */
export function designSize(): Deployment {
  return {
    name: "design-size",
    workers: [
      ...makeWorkers("plain", 762, 20, resources(64, 256, 0), 32),
      ...makeWorkers("accelerated", 238, 8, resources(128, 512, 8), 16),
    ],
    services: { count: 230, replicas: 20, demand: resources(2, 8, 0) },
    work: [
      batch("urgent", 9, 0.15, resources(2, 8, 0), 4_000, {
        idempotent: true,
        agreements: 20,
      }),
      batch("orders", 6, 0.35, resources(3, 12, 0), 30_000, {
        agreements: 100,
        tasks: 4,
      }),
      batch("archive", 1, 0.5, resources(2, 8, 0), 45_000, {
        idempotent: true,
        agreements: 120,
        tasks: 10,
      }),
      batch("images", 5, 0.7, resources(8, 32, 1), 20_000, {
        idempotent: true,
        agreements: 30,
        tasks: 2,
      }),
      gang("train", 3, 0.3, resources(12, 48, 2), 40_000, 16, 10),
    ],
    warmUpMs: 60_000,
    measuredMs: 30_000,
  };
}

/** Builds workers of one shape. */
export function makeWorkers(
  prefix: string,
  count: number,
  perRack: number,
  capacity: Resources,
  slots: number,
): BenchWorker[] {
  return Array.from({ length: count }, (_, i) => ({
    address: {
      id: `${prefix}-${i}`,
      url: "",
      zone: "zone",
      region: "region",
      rack: `${prefix}-rack-${Math.floor(i / perRack)}`,
    },
    capacity: { resources: capacity, slots, connections: 64 },
  }));
}

/** An amount from whole cores and GiB. */
export function resources(
  cores: number,
  memoryGib: number,
  accelerators: number,
): Resources {
  return {
    cpuMillis: cores * 1000,
    memoryMb: memoryGib * GIB,
    accelerators,
  };
}

function batch(
  name: string,
  urgency: number,
  part: number,
  demand: Resources,
  durationMs: number,
  more: Partial<Work> = {},
): Work {
  return {
    name,
    policy: { kind: "batch" },
    urgency,
    idempotent: false,
    demand,
    durationMs,
    tasks: 1,
    part,
    agreements: 1,
    checkpointMs: 100,
    ...more,
  };
}

function gang(
  name: string,
  urgency: number,
  part: number,
  demand: Resources,
  durationMs: number,
  tasks: number,
  agreements = 1,
): Work {
  return {
    ...batch(name, urgency, part, demand, durationMs),
    policy: { kind: "gang", holdMs: 30_000 },
    idempotent: true,
    tasks,
    agreements,
  };
}
