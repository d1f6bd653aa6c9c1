import type { Randomness } from "../src/hosts/mod.ts";
import type { InjectedFault, PlannedFault } from "./fault.ts";
import type { ProxyMode } from "./fault_proxy.ts";

/** Mean interval between the starts of faults, which may overlap. */
const MEAN_FAULT_INTERVAL_MS = 900;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 5_000;
const MAX_DELAY_MS = 400;
/** How far the times between two restarts differ from their mean. */
const UPTIME_SPREAD = 0.45;
const MIN_DOWN_MS = 100;
const MAX_DOWN_MS = 700;
/** How long a restarted worker can be reached at most before it is cut off. */
const MAX_UNCUT_MS = 2_000;
const MIN_CUT_MS = 2_000;
const MAX_CUT_MS = 8_500;
/** Percentage of the faults that occur a second time. */
const REPEATED_FAULT_PERCENT = 25;

/** The kinds to draw from; repeated entries are drawn more often. */
const FAULT_KINDS = [
  "killed",
  "killed",
  "paused",
  "paused",
  "stopped",
  "stopped",
  "allKilled",
  "store",
  "store",
  "store",
  "wholeStore",
  "wholeStore",
  "worker",
  "worker",
  "worker",
] as const;
const PROXY_MODE_KINDS = [
  "delaying",
  "resetting",
  "silent",
  "losingAnswers",
] as const;

/** Options for `planFaults`. */
export type FaultPlanOptions = {
  instances: number;
  workers: number;
  /**
   * Length of the run, in milliseconds; only the repetition of a fault may
   * start later.
   */
  durationMs: number;
};

/** Draws the faults of a run; equal random sequences give equal plans. */
export function* planFaults(
  randomness: Randomness,
  options: FaultPlanOptions,
): Generator<PlannedFault> {
  let atMs = 0;
  while (true) {
    atMs += randomness.integer(0, 2 * MEAN_FAULT_INTERVAL_MS);
    if (atMs >= options.durationMs) return;
    const fault = drawFault(randomness, options);
    const durationMs = randomness.integer(MIN_FAULT_MS, MAX_FAULT_MS);
    yield { atMs, durationMs, fault };
    if (randomness.integer(1, 100) <= REPEATED_FAULT_PERCENT) {
      yield { atMs: atMs + durationMs + MIN_FAULT_MS, durationMs, fault };
    }
  }
}

/** Options for `planRestarts`. */
export type RestartPlanOptions = {
  /** Number of workers that restart. */
  workers: number;
  /** Mean time for which such a worker is up, in milliseconds. */
  meanUptimeMs: number;
  /** Time between two losses of the owner, in ms; none is lost if undefined. */
  ownerKillIntervalMs: number | undefined;
  durationMs: number;
};

/**
 * Draws restarts of workers, half of which are cut off soon after, and losses of
 * the owner.
 */
export function* planRestarts(
  randomness: Randomness,
  { workers, meanUptimeMs, ownerKillIntervalMs, durationMs }:
    RestartPlanOptions,
): Generator<PlannedFault> {
  const drawUptimeMs = () =>
    randomness.integer(
      Math.round(meanUptimeMs * (1 - UPTIME_SPREAD)),
      Math.round(meanUptimeMs * (1 + UPTIME_SPREAD)),
    );
  for (let worker = 0; worker < workers; worker += 1) {
    for (let atMs = drawUptimeMs(); atMs < durationMs;) {
      const downMs = randomness.integer(MIN_DOWN_MS, MAX_DOWN_MS);
      const isCut = randomness.integer(0, 1) === 0;
      const cut = isCut
        ? {
          afterMs: randomness.integer(0, MAX_UNCUT_MS),
          durationMs: randomness.integer(MIN_CUT_MS, MAX_CUT_MS),
        }
        : undefined;
      const fault = { kind: "workerRestarted", worker, cut } as const;
      yield { atMs, durationMs: downMs, fault };
      const cutMs = cut === undefined ? 0 : cut.afterMs + cut.durationMs;
      atMs += downMs + cutMs + drawUptimeMs();
    }
  }
  if (ownerKillIntervalMs === undefined) return;
  for (
    let atMs = ownerKillIntervalMs;
    atMs < durationMs;
    atMs += ownerKillIntervalMs
  ) {
    yield { atMs, durationMs: MIN_FAULT_MS, fault: { kind: "ownerKilled" } };
  }
}

function drawFault(
  randomness: Randomness,
  options: FaultPlanOptions,
): InjectedFault {
  const kind = drawItem(randomness, FAULT_KINDS);
  const instance = drawIndex(randomness, options.instances);
  switch (kind) {
    case "killed":
    case "paused":
    case "stopped":
      return { kind, instance };
    case "allKilled":
      return { kind };
    case "store":
      return { kind, instance, proxyMode: drawProxyMode(randomness) };
    case "wholeStore":
      return { kind, proxyMode: drawProxyMode(randomness) };
    case "worker": {
      const worker = drawIndex(randomness, options.workers);
      return { kind, worker, proxyMode: drawProxyMode(randomness) };
    }
  }
}

function drawProxyMode(randomness: Randomness): ProxyMode {
  const kind = drawItem(randomness, PROXY_MODE_KINDS);
  if (kind !== "delaying") return { kind };
  const delayMs = randomness.integer(10, MAX_DELAY_MS);
  return { kind, delayMs };
}

function drawItem<Item>(randomness: Randomness, items: readonly Item[]): Item {
  return items[drawIndex(randomness, items.length)]!;
}

function drawIndex(randomness: Randomness, count: number): number {
  return randomness.integer(0, count - 1);
}
