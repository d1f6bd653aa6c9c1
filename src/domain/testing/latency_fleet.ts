import { createRandomness } from "../../clients/mod.ts";
import { type Interference, learnLatency } from "../interference/mod.ts";

const READING_MS = 500;
const GOAL_SHARE = 0.4;
/** Odds, in percent, that the tasks beside a service change with a reading. */
const CHANGE_PERCENT = 10;
/** Latency over goal from which the sources are paced down. */
const PACED_RATIO = 0.75;
const MIN_SPEED = 0.1;
/** Their recovery with each reading that is lower. */
const SPEED_STEP = 0.2;

/** The services of a simulated fleet, and what runs beside them. */
export type LatencyFleet = {
  seed: number;
  workers: number;
  seconds: number;
  sources: string[];
  /** Logarithm of the factor of a source on the tail latency, at a time. */
  effectOf: (source: string, atMs: number) => number;
  /** Standard deviation of a reading's logarithm. */
  noise: number;
  /** Correlation of a worker's successive deviations, from 0 to 1. */
  correlation?: number;
  /** Standard deviation of the constant difference of a worker. */
  offset?: number;
  /** Amplitude of a wave of 15 s that raises all readings together. */
  wave?: number;
  /** Readings that are ten times too high, in percent. */
  spikePercent?: number;
  /** Whether sources stand still after a high reading, and then recover. */
  isPaced?: boolean;
};

/**
 * Has a fleet report latencies for a while. The sources come and go on each
 * worker independently of the latencies.
 *
 * @param eachSecond is called with the time, in milliseconds
 */
export function runLatencyFleet(
  interference: Interference,
  fleet: LatencyFleet,
  eachSecond: (nowMs: number) => void = () => {},
): void {
  const { integer } = createRandomness(fleet.seed);
  const { correlation = 0, offset = 0, wave = 0, spikePercent = 0 } = fleet;
  const draw = () => {
    let sum = 0;
    for (let count = 0; count < 12; count += 1) sum += integer(0, 9_999) / 1e4;
    return sum - 6;
  };
  const workers = Array.from({ length: fleet.workers }, () => ({
    exposures: new Set<string>(),
    offset: offset * draw(),
    deviation: draw(),
    lastDeviation: undefined as number | undefined,
    speed: 1,
  }));
  for (let nowMs = 0; nowMs < fleet.seconds * 1_000; nowMs += READING_MS) {
    for (const worker of workers) {
      for (const source of fleet.sources) {
        if (integer(1, 100) > CHANGE_PERCENT) continue;
        if (!worker.exposures.delete(source)) worker.exposures.add(source);
      }
      worker.deviation = correlation * worker.deviation +
        Math.sqrt(1 - correlation ** 2) * draw();
      let logRatio = Math.log(GOAL_SHARE) + worker.offset +
        fleet.noise * worker.deviation +
        wave * Math.sin(2 * Math.PI * nowMs / 15_000);
      const exposures = new Map(
        [...worker.exposures.keys()].map((source) =>
          [source, Math.log2(1 + worker.speed)] as const
        ),
      );
      for (const [source, exposure] of exposures) {
        logRatio += exposure * fleet.effectOf(source, nowMs);
      }
      if (integer(1, 100) <= spikePercent) logRatio += Math.log(10);
      const { lastDeviation } = worker;
      if (fleet.isPaced === true) {
        worker.speed = logRatio > Math.log(PACED_RATIO)
          ? MIN_SPEED
          : Math.min(1, worker.speed + SPEED_STEP);
      }
      const sample = { logRatio, exposures, lastDeviation };
      worker.lastDeviation = learnLatency(interference, "v", sample, nowMs);
    }
    if (nowMs % 1_000 === 0) eachSecond(nowMs);
  }
}
