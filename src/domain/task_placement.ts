/**
 * Placement of tasks, and the capacity that they allocate on workers.
 *
 * @module
 */
import {
  addResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import type {
  AllocationTotals,
  DomainWorker,
  PlacedTaskRef,
} from "./domain_worker.ts";
import type { Step } from "./job.ts";
import { workerIdBytes } from "./step_limits.ts";
import { isSuspect, type StepRun, taskNameOf } from "./step_run.ts";
import type { PlacedPhase } from "./task_state.ts";

const FULL_SPEED_PERCENT = 100;

/**
 * Creates the state of a worker of which only the id is known.
 *
 * @param totals the domain's totals of allocated capacity, which placing and
 *   releasing tasks updates
 */
export function createDomainWorker(
  id: string,
  totals: AllocationTotals,
): DomainWorker {
  return {
    id,
    idBytes: workerIdBytes(id),
    totals,
    listing: undefined,
    lastListing: undefined,
    isReachable: false,
    linkReopenedAtMs: undefined,
    bornMs: 0,
    formerBornMs: 0,
    lastEnd: 0,
    capacity: NO_RESOURCES,
    used: NO_RESOURCES,
    opportunisticCpuMillis: 0,
    sourceSpeeds: { atMs: 0, last: new Map(), averages: new Map() },
    placed: new Map(),
    suspects: new Set(),
    lapsedStarts: [],
    health: {
      consecutiveFailures: 0,
      avoidUntilMs: 0,
      probationUntilMs: 0,
      slowdown: 1,
    },
    demandPressure: 0,
  };
}

/**
 * The resources that a task of a step allocates on a worker. Opportunistic
 * tasks use only spare processor time, so they allocate none.
 */
export function allocationOf(step: Step): Resources {
  return step.opportunistic ? { ...step.demand, cpuMillis: 0 } : step.demand;
}

/** Allocates capacity on a worker to a waiting task; ignores other tasks. */
export function placeTask(
  run: StepRun,
  index: number,
  worker: DomainWorker,
  placement: {
    attempt: number;
    nowMs: number;
    phase: PlacedPhase;
    bornMs?: number;
  },
): void {
  const task = run.tasks[index];
  if (task?.kind !== "waiting") return;
  const { attempt, nowMs, phase, bornMs = worker.bornMs } = placement;
  run.tasks[index] = {
    kind: "placed",
    attempt,
    failures: task.failures,
    checkpoint: task.checkpoint,
    worker: worker.id,
    bornMs,
    phase,
    placedAtMs: nowMs,
  };
  run.waitingCount -= 1;
  run.longestIdBytes = Math.max(run.longestIdBytes, worker.idBytes);
  run.jobRun.hasStarted = true;
  allocateTask(run, index, worker, phase.kind === "starting");
  if (isSuspect(run, index)) {
    worker.suspects.add(taskNameOf(run, index));
  }
}

/**
 * Allocates capacity on a worker to a run that it lists. A worker holds one run
 * of a task at a time, so the allocation of an earlier run is replaced.
 *
 * @param isPaceKnown whether no earlier owner may have paced the run
 */
export function allocateTask(
  run: StepRun,
  index: number,
  worker: DomainWorker,
  isPaceKnown = false,
): void {
  releaseTask(worker, taskNameOf(run, index));
  const allocated = allocationOf(run.step);
  worker.used = addResources(worker.used, allocated);
  updateTotals(worker, run, allocated, addResources);
  if (run.step.opportunistic) {
    worker.opportunisticCpuMillis += run.step.demand.cpuMillis;
  }
  worker.placed.set(taskNameOf(run, index), {
    run,
    index,
    allocated,
    pacedToPercent: FULL_SPEED_PERCENT,
    isPaceKnown,
    reading: 0,
    latencySample: undefined,
    runningSinceMs: undefined,
    isSettled: false,
    abandonedStart: undefined,
  });
}

/** Releases the capacity of a task that is known to have ended. */
export function releaseTask(worker: DomainWorker, name: string): void {
  const ref: PlacedTaskRef | undefined = worker.placed.get(name);
  if (ref === undefined) return;
  worker.placed.delete(name);
  worker.suspects.delete(name);
  worker.used = subtractResources(worker.used, ref.allocated);
  updateTotals(worker, ref.run, ref.allocated, subtractResources);
  if (ref.run.step.opportunistic) {
    worker.opportunisticCpuMillis -= ref.run.step.demand.cpuMillis;
  }
}

type AllocationChange = (total: Resources, change: Resources) => Resources;

function updateTotals(
  { totals }: DomainWorker,
  run: StepRun,
  allocation: Resources,
  combine: AllocationChange,
): void {
  const { agreement, clientAccount } = run.jobRun.job.policy;
  const { allocatedByAgreement, allocatedByAccount } = totals;
  updateTotal(allocatedByAgreement, agreement, allocation, combine);
  // The processor time of opportunistic tasks counts for the cap.
  updateTotal(allocatedByAccount, clientAccount, run.step.demand, combine);
}

function updateTotal(
  totals: Map<string, Resources>,
  name: string | undefined,
  allocation: Resources,
  combine: AllocationChange,
): void {
  if (name === undefined) return;
  const total = combine(totals.get(name) ?? NO_RESOURCES, allocation);
  if (isZero(total)) totals.delete(name);
  else totals.set(name, total);
}

function isZero({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0;
}
