/**
 * Which workers to hold for a group, so that it can start soonest.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import { demandOf, expectedEndMs } from "./learning.ts";
import type { Placement } from "./placement.ts";
import { mayPreempt } from "./preempt.ts";
import { waitingTasks } from "./queue.ts";
import { indexFor, isUsable } from "./room.ts";
import type { Step } from "./step.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** How many workers are looked at for one hold, at least. */
const WORKERS_SEEN = 64;
/** How long preempted work is expected to hold its room, in milliseconds. */
const CHECKPOINT_MS = 200;

/** The workers of a hold, and when they should have the room. */
export type HoldPlan = {
  workers: Map<WorkerState, number>;
  startsAtMs: number;
};

/** Plans a hold for some tasks of a group. */
export function planHold(
  step: Step,
  group: WaitingGroup,
  count: number,
): HoldPlan | undefined {
  const demand = largestDemand(step.placement, group);
  const seen = Math.max(WORKERS_SEEN, 2 * count);
  const openings: Opening[] = [];
  for (const worker of someWorkers(step.placement, demand, seen)) {
    openings.push(...openingsOn(step, worker, demand, group));
  }
  if (openings.length < count) return undefined;
  openings.sort((a, b) => a.atMs - b.atMs);
  const workers = new Map<WorkerState, number>();
  for (const { worker } of openings.slice(0, count)) {
    workers.set(worker, (workers.get(worker) ?? 0) + 1);
  }
  return { workers, startsAtMs: openings[count - 1]!.atMs };
}

/** A time from which a worker should have room for one task more. */
type Opening = { worker: WorkerState; atMs: number };

function openingsOn(
  step: Step,
  worker: WorkerState,
  demand: Resources,
  group: WaitingGroup,
): Opening[] {
  const openings: Opening[] = [];
  let { free, freeSlots } = worker;
  const open = (atMs: number) => {
    while (freeSlots >= 1 && fitsInto(demand, free)) {
      openings.push({ worker, atMs });
      free = subtractResources(free, demand);
      freeSlots -= 1;
    }
  };
  open(step.atMs);
  for (const { placed, atMs } of endings(step, worker, group)) {
    free = addResources(free, placed.reserved);
    freeSlots += 1;
    open(atMs);
  }
  return openings;
}

/** When the tasks of a worker should end, soonest first. */
function endings(
  step: Step,
  worker: WorkerState,
  group: WaitingGroup,
): { placed: PlacedTask; atMs: number }[] {
  const { placement, atMs } = step;
  return [...worker.placed.values()]
    .filter(({ task }) => task.policy.kind !== "service")
    .map((placed) => {
      const endMs = expectedEndMs(placed, atMs);
      const isShort = mayPreempt(placement, placed, group);
      const at = isShort ? Math.min(endMs, atMs + CHECKPOINT_MS) : endMs;
      return { placed, atMs: at };
    })
    .sort((a, b) => a.atMs - b.atMs);
}

/** Usable workers without a hold, from a random one on. */
function* someWorkers(
  placement: Placement,
  demand: Resources,
  most: number,
): Generator<WorkerState> {
  const { leaves } = indexFor(placement, demand);
  if (leaves.length === 0) return;
  const start = placement.options.randomness.integer(0, leaves.length - 1);
  let count = 0;
  for (let i = 0; i < leaves.length && count < most; i++) {
    const worker = leaves[(start + i) % leaves.length];
    if (worker === undefined || worker.hold !== undefined) continue;
    if (!isUsable(worker)) continue;
    if (!fitsInto(demand, worker.capacity.resources)) continue;
    count += 1;
    yield worker;
  }
}

/** What the largest task of a group needs, resource by resource. */
function largestDemand(
  placement: Placement,
  group: WaitingGroup,
): Resources {
  const most = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const queued of waitingTasks(group)) {
    const demand = demandOf(placement, queued);
    most.cpuMillis = Math.max(most.cpuMillis, demand.cpuMillis);
    most.memoryMb = Math.max(most.memoryMb, demand.memoryMb);
    most.accelerators = Math.max(most.accelerators, demand.accelerators);
  }
  return most;
}
