/**
 * Packing: how full the workers are when the first task has to wait.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Request,
  type Resources,
  subtractResources,
} from "../src/model/mod.ts";
import type { BenchWorker, Deployment } from "./deployment.ts";
import { createRequest, type WorkStream } from "./offered_load.ts";
import { createRandomness } from "./random.ts";
import type { Scheduler } from "./scheduler.ts";
import { pooled, type Variant } from "./variant.ts";

/** Parts in use from 0 to 1, as means over the seeds. */
export type Packing = {
  cpu: number;
  memory: number;
  accelerators: number;
  slots: number;
  /** Part of all accelerators that are free but that no task can reach. */
  stranded: number;
};

/** Fills an empty deployment with single tasks until the first one waits. */
export function measurePacking(
  variant: Variant,
  deployment: Deployment,
  seeds: number[],
): Packing {
  const all = seeds.map((seed) => fillOnce(variant, deployment, seed));
  const mean = (pick: (packing: Packing) => number) =>
    all.reduce((total, packing) => total + pick(packing), 0) / all.length;
  return {
    cpu: mean((packing) => packing.cpu),
    memory: mean((packing) => packing.memory),
    accelerators: mean((packing) => packing.accelerators),
    slots: mean((packing) => packing.slots),
    stranded: mean((packing) => packing.stranded),
  };
}

type Fill = { worker: BenchWorker; free: Resources; freeSlots: number };

function fillOnce(
  variant: Variant,
  original: Deployment,
  seed: number,
): Packing {
  const deployment = variant.isBound ? pooled(original) : original;
  const randomness = createRandomness(seed);
  const scheduler = variant.createScheduler(createRandomness(seed + 1));
  const fills = new Map<string, Fill>();
  for (const worker of deployment.workers) {
    join(scheduler, worker);
    const { resources, slots } = worker.capacity;
    fills.set(worker.address.id, { worker, free: resources, freeSlots: slots });
  }
  const streams = deployment.work.filter(({ policy }) =>
    policy.kind === "batch"
  );
  for (let number = 0;; number++) {
    const work = streams[randomness.integer(0, streams.length - 1)]!;
    const stream: WorkStream = {
      work: { ...work, tasks: 1, urgency: 3 },
      sizeError: 1,
      timeError: 1,
      everyMs: 1,
    };
    const request = createRequest(stream, number, 0, randomness);
    if (!startsAtOnce(scheduler, request, fills)) return sumUp(fills, streams);
  }
}

function join(scheduler: Scheduler, worker: BenchWorker): void {
  const { address, capacity } = worker;
  const event = { kind: "workerJoined" as const, token: 1, records: [] };
  scheduler({ ...event, worker: address, capacity }, 0);
}

function startsAtOnce(
  scheduler: Scheduler,
  request: Request,
  fills: Map<string, Fill>,
): boolean {
  const { tasks } = request;
  for (const command of scheduler({ kind: "submitted", request, tasks }, 0)) {
    if (command.kind !== "start") continue;
    const fill = fills.get(command.worker)!;
    fill.free = subtractResources(fill.free, command.task.demand);
    fill.freeSlots -= 1;
    return true;
  }
  return false;
}

function sumUp(
  fills: Map<string, Fill>,
  streams: Deployment["work"],
): Packing {
  let total = NO_RESOURCES;
  let free = NO_RESOURCES;
  let slots = 0;
  let freeSlots = 0;
  let stranded = 0;
  const demands = streams.map(({ demand }) => demand)
    .filter(({ accelerators }) => accelerators > 0);
  for (const fill of fills.values()) {
    const { resources, slots: all } = fill.worker.capacity;
    total = addResources(total, resources);
    free = addResources(free, fill.free);
    slots += all;
    freeSlots += fill.freeSlots;
    stranded += strandedOn(fill, demands);
  }
  return {
    cpu: 1 - free.cpuMillis / total.cpuMillis,
    memory: 1 - free.memoryMb / total.memoryMb,
    accelerators: 1 - free.accelerators / total.accelerators,
    slots: 1 - freeSlots / slots,
    stranded: stranded / total.accelerators,
  };
}

/** Free accelerators that are left when no more tasks fit. */
function strandedOn(fill: Fill, demands: Resources[]): number {
  let { free, freeSlots } = fill;
  for (const demand of demands) {
    while (freeSlots >= 1 && fitsInto(demand, free)) {
      free = subtractResources(free, demand);
      freeSlots -= 1;
    }
  }
  return free.accelerators;
}
