/**
 * One scheduling pass: the steps with waiting tasks, the most urgent first,
 * get room on the workers.
 *
 * @module
 */
import {
  askFor,
  hasTicket,
  isDecided,
  mayBeAllowed,
  questionMs,
} from "./advising.ts";
import {
  hasFreeRoom,
  hasRoom,
  isEligible,
  scoreWorker,
} from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { stepRecordKey } from "./keys.ts";
import { placeGang } from "./place_gang.ts";
import { createPass, type Pass } from "./pass.ts";
import { place, reservationOf } from "./placed.ts";
import { updatePressure } from "./pressure.ts";
import { inRankOrder } from "./rank.ts";
import { isLarge, mayUse, reserveForLarge } from "./reservations.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";

/** Places whatever can be placed now, and notes which steps need advice. */
export function schedule(domain: Domain, moment: Moment): void {
  const pass = createPass(domain, moment);
  domain.adviceQueue = [];
  updatePressure(domain);
  for (
    const run of inRankOrder(
      domain.waitingSteps,
      moment.wallMs,
      domain.reservedByAgreement,
    )
  ) {
    if (run.step.gang) placeGang(pass, run);
    else placeTasks(pass, run);
  }
}

function placeTasks(pass: Pass, run: StepRun): void {
  const { domain, moment } = pass;
  const candidates = findCandidates(pass, run);
  const large = isLarge(pass, run);
  if (candidates.length === 0) {
    if (large) awaitRoom(pass, run);
    return;
  }
  const usable = candidates.filter((worker) =>
    hasTicket(run, worker.id, moment.steadyMs)
  );
  const placements: string[] = [];
  for (let index = 0; index < run.tasks.length; index += 1) {
    if (run.tasks[index]?.kind !== "waiting") continue;
    const worker = takeBest(pass, usable, run);
    if (worker === undefined) break;
    const attempt = nextAttempt(run, index);
    placements.push(startTask(pass, run, index, worker, attempt));
  }
  reportPlacements(pass, run, placements);
  if (run.waitingCount === 0) {
    domain.waitingSteps.delete(run);
    return;
  }
  const seats = large ? reserveForLarge(pass, run) : [];
  askFor(pass, run, seats);
}

/** The workers on which a task of a step may be placed now. */
function findCandidates(pass: Pass, run: StepRun): DomainWorker[] {
  const demand = reservationOf(run.step);
  const { service } = run.jobRun.job.policy;
  if (pass.isFullFor(service, demand)) return [];
  const nowMs = pass.moment.steadyMs;
  const roomy = pass.workersOf(service).filter((worker) =>
    hasFreeRoom(worker, demand, nowMs)
  );
  if (roomy.length === 0) pass.noteFull(service, demand);
  return roomy.filter((worker) =>
    isEligible(worker, run) && mayBeAllowed(run, worker.id) &&
    hasRoom(worker, run, nowMs) && mayUse(pass, worker, run)
  );
}

/**
 * A large step that finds no room learns early where it may run, so that room
 * is reserved, and asks for the tickets shortly before that is free.
 */
function awaitRoom(pass: Pass, run: StepRun): void {
  const nowMs = pass.moment.steadyMs;
  const seats = reserveForLarge(pass, run);
  const soonMs = nowMs + questionMs(run, seats.length);
  const soon = seats.filter(({ worker, freeAtMs }) =>
    freeAtMs <= soonMs && !hasTicket(run, worker.id, freeAtMs)
  );
  if (soon.length > 0 || !isDecided(run)) askFor(pass, run, soon);
}

/** The best worker with room; workers without room leave the list. */
function takeBest(
  pass: Pass,
  workers: DomainWorker[],
  run: StepRun,
): DomainWorker | undefined {
  const nowMs = pass.moment.steadyMs;
  let best: DomainWorker | undefined;
  let bestScore = -Infinity;
  for (let index = workers.length - 1; index >= 0; index -= 1) {
    const worker = workers[index]!;
    if (!hasRoom(worker, run, nowMs) || !mayUse(pass, worker, run)) {
      workers.splice(index, 1);
      continue;
    }
    const score = scoreWorker(worker, run);
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

function nextAttempt(run: StepRun, index: number): number {
  return run.tasks[index]!.attempt + 1;
}

/** Reports what one pass has placed of a step, in one line. */
export function reportPlacements(
  { domain, moment }: Pass,
  run: StepRun,
  placements: string[],
): void {
  if (placements.length === 0) return;
  domain.commands.push({
    kind: "report",
    message: "Placed tasks.",
    fields: {
      job: run.jobRun.job.id,
      step: run.key,
      placements: placements.join(" "),
      waitedMs: Math.round(moment.steadyMs - run.readyAtMs),
      slackMs: Math.round(run.latestStartMs - moment.wallMs),
    },
  });
}

/**
 * Places a task and orders its start.
 *
 * @returns the placement as the log shows it: index, attempt and worker
 */
export function startTask(
  pass: Pass,
  run: StepRun,
  index: number,
  worker: DomainWorker,
  attempt: number,
): string {
  const { domain, moment } = pass;
  place(run, index, worker, {
    attempt,
    nowMs: moment.steadyMs,
    phase: { kind: "starting" },
  });
  const task = run.tasks[index];
  domain.dirtyKeys.add(stepRecordKey(run.key));
  domain.commands.push({
    kind: "order",
    order: {
      kind: "start",
      worker: worker.id,
      task: taskNameOf(run, index),
      attempt,
      specification: run.jobRun.job.specification,
      ticket: run.advice.allowed.get(worker.id)?.text,
      checkpoint: task?.kind === "placed" ? task.checkpoint : undefined,
    },
  });
  return `${index}#${attempt}@${worker.id}`;
}
