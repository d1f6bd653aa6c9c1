import type { Domain } from "../domain.ts";
import type { DomainWorker, PlacedTaskRef } from "../domain_worker.ts";
import { imageOf } from "./image.ts";
import { learnLatency } from "./interference.ts";

/** A reading covers this time; more frequent ones overlap, in milliseconds. */
const READING_MS = 500;
/** Readings of a task that has just started are ignored, in milliseconds. */
const START_UP_MS = 1_000;
/** Readings outside this range of latency over goal are taken for its ends. */
const LATENCY_RATIO_RANGE = { min: 0.01, max: 10 };
/** Lower exposures count as none. */
const MIN_EXPOSURE = 0.05;
const FULL_SPEED_PERCENT = 100;

/**
 * Learns from the latencies that the services of a worker have just reported,
 * and from the opportunistic tasks beside them.
 */
export function observeWorkerLatencies(
  domain: Domain,
  worker: DomainWorker,
  nowMs: number,
): void {
  const victims = [...worker.placed.values()].filter(isService);
  if (victims.length === 0) return;
  updateSourceSpeeds(worker, nowMs);
  if ([...worker.placed.values()].some(hasUnknownPace)) return;
  const exposures = exposuresOn(worker);
  for (const ref of victims) {
    const { latencySample, reading, runningSinceMs = nowMs } = ref;
    if (!isRunning(ref) || nowMs - runningSinceMs < START_UP_MS) continue;
    if (!(reading > 0)) continue;
    if (nowMs - (latencySample?.atMs ?? -Infinity) < READING_MS) continue;
    const { min, max } = LATENCY_RATIO_RANGE;
    const ratio = reading / ref.run.step.latencyGoalMs!;
    const deviation = learnLatency(domain.interference, imageOf(ref.run), {
      logRatio: Math.log(Math.max(min, Math.min(max, ratio))),
      exposures,
      lastDeviation: latencySample?.deviation,
    }, nowMs);
    ref.latencySample = { atMs: nowMs, deviation };
  }
}

/** Whether a task serves its own users, and has a goal for their latency. */
function isService({ run: { step } }: PlacedTaskRef): boolean {
  return (step.latencyGoalMs ?? 0) > 0 && !step.opportunistic;
}

function isRunning({ run, index }: PlacedTaskRef): boolean {
  const task = run.tasks[index];
  return task?.kind === "placed" && task.phase.kind === "running";
}

/** Whether an earlier owner may have paced an opportunistic task. */
function hasUnknownPace({ run, isPaceKnown }: PlacedTaskRef): boolean {
  return run.step.opportunistic && !isPaceKnown;
}

/**
 * Updates the speeds of the sources, averaged over the time that a reading
 * covers: the sum of their tasks' speeds, 1 for one task at full speed.
 */
function updateSourceSpeeds(worker: DomainWorker, nowMs: number): void {
  const { sourceSpeeds } = worker;
  const elapsedMs = nowMs - sourceSpeeds.atMs;
  const weight = 1 - Math.exp(-Math.max(0, elapsedMs) / READING_MS);
  for (const [image, speed] of sourceSpeeds.averages) {
    const last = sourceSpeeds.last.get(image) ?? 0;
    const average = speed + weight * (last - speed);
    if (average < MIN_EXPOSURE && last === 0) {
      sourceSpeeds.averages.delete(image);
    } else sourceSpeeds.averages.set(image, average);
  }
  sourceSpeeds.atMs = nowMs;
  sourceSpeeds.last.clear();
  for (const ref of worker.placed.values()) {
    if (!ref.run.step.opportunistic || !isRunning(ref)) continue;
    const image = imageOf(ref.run);
    const speed = sourceSpeeds.last.get(image) ?? 0;
    sourceSpeeds.last.set(
      image,
      speed + ref.pacedToPercent / FULL_SPEED_PERCENT,
    );
    if (!sourceSpeeds.averages.has(image)) sourceSpeeds.averages.set(image, 0);
  }
}

/** Exposure to each source: 1 for one task, 2 for three, and so on. */
function exposuresOn({ sourceSpeeds }: DomainWorker): Map<string, number> {
  const exposures = new Map<string, number>();
  for (const [image, speed] of sourceSpeeds.averages) {
    const exposure = Math.log2(1 + speed);
    if (exposure >= MIN_EXPOSURE) exposures.set(image, exposure);
  }
  return exposures;
}
