/**
 * The room that steps beyond their account's rate may take. Steps within the
 * rates that wait for their first ticket keep theirs, since the excess would
 * otherwise take each task's place while the placement policy decides.
 *
 * @module
 */
import {
  addResources,
  combineResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import { hasAdvice } from "./advice_requests.ts";
import { isEligible } from "./choose_worker.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import { isExcess, type StepRun } from "./step_run.ts";
import { allocationOf } from "./task_placement.ts";

/** Steps that wait longer for the policy keep no room, in milliseconds. */
const MAX_ADVICE_WAIT_MS = 1_000;

/**
 * Whether a step beyond its account's rate may be placed: the free capacity
 * exceeds what the steps before it need once the policy has answered.
 */
export function hasRoomForExcess(pass: SchedulingPass, run: StepRun): boolean {
  const { service } = run.jobRun.job.policy;
  const room = pass.excessRoom.get(service) ?? findRoom(pass, service);
  pass.excessRoom.set(service, room);
  // What it does not need may be short.
  return fitsInto(
    allocationOf(run.step),
    combineResources(room, NO_RESOURCES, Math.max),
  );
}

/** Subtracts what a step beyond its account's rate has been given. */
export function takeExcessRoom(
  pass: SchedulingPass,
  { step, jobRun }: StepRun,
  taskCount: number,
): void {
  const { service } = jobRun.job.policy;
  const room = pass.excessRoom.get(service);
  if (room === undefined) return;
  const taken = multiply(allocationOf(step), taskCount);
  pass.excessRoom.set(service, subtractResources(room, taken));
}

function findRoom(pass: SchedulingPass, service: string): Resources {
  let room: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const worker of pass.workersOf(service)) {
    if (!worker.isReachable) continue;
    const free = subtractResources(worker.capacity, worker.used);
    room = addResources(room, free);
  }
  for (const run of pass.domain.waitingSteps) {
    const { policy } = run.jobRun.job;
    if (policy.service !== service || isExcess(run)) continue;
    const waitedMs = pass.moment.steadyMs - run.readyAtMs;
    if (hasAdvice(run) || waitedMs > MAX_ADVICE_WAIT_MS) continue;
    if (!couldStart(pass, run)) continue;
    const needed = multiply(allocationOf(run.step), run.waitingCount);
    room = subtractResources(room, needed);
  }
  return room;
}

/** Whether the policy's answer is what keeps a step from its capacity. */
function couldStart(pass: SchedulingPass, run: StepRun): boolean {
  const { step, jobRun } = run;
  const { service } = jobRun.job.policy;
  return pass.accountLimits.admits(run, step.gang ? step.taskCount : 1) &&
    pass.workersOf(service).some((worker) => isEligible(worker, run));
}

function multiply(amount: Resources, factor: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * factor,
    memoryMb: amount.memoryMb * factor,
    accelerators: amount.accelerators * factor,
  };
}
