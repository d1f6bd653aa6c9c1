import type { Randomness } from "../src/hosts/mod.ts";
import type { InjectedFault, PlannedFault } from "./fault.ts";
import type { ProxyMode } from "./fault_proxy.ts";

/** Mean interval between the starts of faults, which may overlap. */
const MEAN_FAULT_INTERVAL_MS = 900;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 5_000;
const MAX_DELAY_MS = 400;
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
