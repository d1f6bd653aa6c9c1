/**
 * Which worker a task goes to, by its policy.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import {
  type Policy,
  PREEMPTING_URGENCY,
  type Resources,
  type Task,
} from "../model/mod.ts";
import { type FreeIndex, nextFittingLeaf } from "./free_index.ts";
import type { Placement } from "./placement.ts";
import type { WorkerState } from "./worker_state.ts";

/** How many workers with accelerators are tried for other work. */
const SPARE_CANDIDATES = 64;
/** How many workers with room are compared for one replica of a service. */
const SERVICE_CANDIDATES = 64;

/**
 * Chooses a worker with room for a task.
 *
 * @returns the worker, or undefined where no worker has the room
 */
export function chooseWorker(
  placement: Placement,
  task: Task,
  demand: Resources,
): WorkerState | undefined {
  if (demand.accelerators > 0) {
    return chooseFrom(placement, placement.accelerated, task, demand);
  }
  const plain = chooseFrom(placement, placement.plain, task, demand);
  if (plain !== undefined) return plain;
  if (!mayStrand(task)) return firstSpare(placement, demand, task);
  return chooseFrom(placement, placement.accelerated, task, demand);
}

/**
 * Whether a task may take a worker's room. Batch work that needs no
 * accelerators leaves a slot beside each free one where waiting weighs most,
 * and stays away altogether while work that needs them waits.
 */
export function mayUse(
  placement: Placement,
  worker: WorkerState,
  task: Task,
): boolean {
  if (worker.capacity.resources.accelerators === 0 || mayStrand(task)) {
    return true;
  }
  if (placement.queuedAccelerated > 0) return false;
  return placement.options.preference === "cost" ||
    worker.freeSlots > worker.free.accelerators;
}

/** Whether a task may take the room beside free accelerators in any case. */
function mayStrand(task: Task): boolean {
  return task.demand.accelerators > 0 || task.policy.kind !== "batch" ||
    task.urgency >= PREEMPTING_URGENCY;
}

/** The first worker with accelerators and with room to spare beside them. */
function firstSpare(
  placement: Placement,
  demand: Resources,
  task: Task,
): WorkerState | undefined {
  if (placement.queuedAccelerated > 0) return undefined;
  const index = placement.accelerated;
  let leaf = nextFittingLeaf(index, demand, 0);
  for (let i = 0; leaf >= 0 && i < SPARE_CANDIDATES; i++) {
    const worker = index.leaves[leaf]!;
    if (mayUse(placement, worker, task)) return worker;
    leaf = nextFittingLeaf(index, demand, leaf + 1);
  }
  return undefined;
}

function chooseFrom(
  placement: Placement,
  index: FreeIndex<WorkerState>,
  task: Task,
  demand: Resources,
): WorkerState | undefined {
  const { kind }: Policy = task.policy;
  switch (kind) {
    case "batch":
    case "gang":
      return firstFit(index, demand);
    case "service":
      return spread(placement, index, task, demand);
    default:
      return assertNever(kind);
  }
}

/** The first worker with room: filling in one order packs tightly. */
function firstFit(
  index: FreeIndex<WorkerState>,
  demand: Resources,
): WorkerState | undefined {
  const leaf = nextFittingLeaf(index, demand, 0);
  return leaf < 0 ? undefined : index.leaves[leaf];
}

/** The worker on the rack with the fewest replicas of the same request. */
function spread(
  placement: Placement,
  index: FreeIndex<WorkerState>,
  task: Task,
  demand: Resources,
): WorkerState | undefined {
  const racks = placement.replicas.get(task.requestId);
  const start = placement.options.randomness.integer(0, index.size - 1);
  let best: WorkerState | undefined;
  let least = Infinity;
  for (const worker of workersFrom(index, demand, start)) {
    const onRack = racks?.get(worker.address.rack) ?? 0;
    const cost = onRack + leftOver(worker, demand) / 2;
    if (cost >= least) continue;
    least = cost;
    best = worker;
  }
  return best;
}

/** Some workers with room, from a leaf on and around. */
function* workersFrom(
  index: FreeIndex<WorkerState>,
  demand: Resources,
  start: number,
): Generator<WorkerState> {
  let count = 0;
  for (const [from, to] of [[start, index.size], [0, start]] as const) {
    let leaf = nextFittingLeaf(index, demand, from);
    while (leaf >= 0 && leaf < to && count < SERVICE_CANDIDATES) {
      yield index.leaves[leaf]!;
      count += 1;
      leaf = nextFittingLeaf(index, demand, leaf + 1);
    }
  }
}

/** The share of a worker's dominant resource that a task would leave free. */
function leftOver(worker: WorkerState, demand: Resources): number {
  const { free, capacity: { resources } } = worker;
  const cpu = demand.cpuMillis / (resources.cpuMillis || 1);
  const memory = demand.memoryMb / (resources.memoryMb || 1);
  const accelerators = demand.accelerators / (resources.accelerators || 1);
  if (accelerators >= cpu && accelerators >= memory && accelerators > 0) {
    return free.accelerators / resources.accelerators - accelerators;
  }
  return cpu >= memory
    ? free.cpuMillis / (resources.cpuMillis || 1) - cpu
    : free.memoryMb / (resources.memoryMb || 1) - memory;
}
