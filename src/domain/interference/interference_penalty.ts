import { assertNever } from "../../base/mod.ts";
import type { Domain } from "../domain.ts";
import type { DomainWorker } from "../domain_worker.ts";
import type { StepRun } from "../step_run.ts";
import { imageOf } from "./image.ts";
import { findVerdict, type PairVerdict } from "./interference.ts";

/**
 * Score penalty for placing opportunistic work and a service together while
 * nothing is known of the pair.
 */
const UNPROVEN_PENALTY = 1;
/** Further penalty for a source that doubles the tail latency of a service. */
const DOUBLING_PENALTY = 0.5;
/** Upper bound on the further penalty: a worker far from the data is worse. */
const MAX_EXCESS = 0.9;

/**
 * Returns the score penalty for placing a task of a step on a worker because of
 * what it would slow down there, and what would slow it down.
 */
export function interferencePenalty(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
): number {
  if (!mayInterfere(run)) return 0;
  return highestPenalty(verdictsAsSource(domain, worker, run)) +
    highestPenalty(verdictsAsVictim(domain, worker, run));
}

/** Returns the part of the penalty that is due to pairs with a proven cost. */
export function harmfulExcess(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
): number {
  if (!mayInterfere(run) || domain.interference.models.size === 0) return 0;
  return excessOf(verdictsAsSource(domain, worker, run)) +
    excessOf(verdictsAsVictim(domain, worker, run));
}

function mayInterfere({ step }: StepRun): boolean {
  return step.opportunistic || step.latencyGoalMs !== undefined;
}

/** Yields what is known of the services that opportunistic work would join. */
function* verdictsAsSource(
  { interference }: Domain,
  worker: DomainWorker,
  run: StepRun,
): Generator<PairVerdict> {
  if (!run.step.opportunistic) return;
  const source = imageOf(run);
  for (const { run: other } of worker.placed.values()) {
    if (other.step.latencyGoalMs === undefined) continue;
    yield findVerdict(interference, imageOf(other), source);
  }
}

/** Yields what is known of the opportunistic work that a service would join. */
function* verdictsAsVictim(
  { interference }: Domain,
  worker: DomainWorker,
  run: StepRun,
): Generator<PairVerdict> {
  const { latencyGoalMs } = run.step;
  if (latencyGoalMs === undefined || worker.opportunisticCpuMillis <= 0) return;
  const victim = imageOf(run);
  for (const { run: other } of worker.placed.values()) {
    if (!other.step.opportunistic) continue;
    yield findVerdict(interference, victim, imageOf(other));
  }
}

function excessOf(verdicts: Iterable<PairVerdict>): number {
  return Math.max(0, highestPenalty(verdicts) - UNPROVEN_PENALTY);
}

function highestPenalty(verdicts: Iterable<PairVerdict>): number {
  let highest = 0;
  for (const verdict of verdicts) {
    highest = Math.max(highest, penaltyOf(verdict));
    if (highest >= UNPROVEN_PENALTY + MAX_EXCESS) break;
  }
  return highest;
}

function penaltyOf(verdict: PairVerdict): number {
  switch (verdict.kind) {
    case "unproven":
      return UNPROVEN_PENALTY;
    case "harmless":
      return 0;
    case "harmful": {
      const excess = DOUBLING_PENALTY * verdict.effect / Math.LN2;
      return UNPROVEN_PENALTY + Math.min(MAX_EXCESS, excess);
    }
    default:
      return assertNever(verdict);
  }
}
