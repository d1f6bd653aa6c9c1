import type { Randomness } from "../src/hosts/mod.ts";
import type { Fault, PlannedFault } from "./fault.ts";
import type { Treatment } from "./fault_proxy.ts";

/** Mean time between faults, which overlap and come in series, in ms. */
const MEAN_GAP_MS = 900;
const SHORTEST_FAULT_MS = 200;
const LONGEST_FAULT_MS = 5_000;
const LONGEST_DELAY_MS = 400;
/** The part of the faults after which the same comes again, in percent. */
const REPEATED_PERCENT = 25;

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
const TREATMENT_KINDS = [
  "delaying",
  "resetting",
  "silent",
  "losingAnswers",
] as const;

/** What a plan is drawn for. */
export type PlanSize = {
  instances: number;
  workers: number;
  /** No fault begins later, in milliseconds. */
  lengthMs: number;
};

/** Draws the faults of a run; the same for the same randomness. */
export function* planFaults(
  randomness: Randomness,
  size: PlanSize,
): Generator<PlannedFault> {
  let atMs = 0;
  while (true) {
    atMs += randomness.integer(0, 2 * MEAN_GAP_MS);
    if (atMs >= size.lengthMs) return;
    const fault = drawFault(randomness, size);
    const lastsMs = randomness.integer(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
    yield { atMs, lastsMs, fault };
    if (randomness.integer(1, 100) <= REPEATED_PERCENT) {
      yield { atMs: atMs + lastsMs + SHORTEST_FAULT_MS, lastsMs, fault };
    }
  }
}

function drawFault(randomness: Randomness, size: PlanSize): Fault {
  const kind = draw(randomness, FAULT_KINDS);
  const instance = index(randomness, size.instances);
  switch (kind) {
    case "killed":
    case "paused":
    case "stopped":
      return { kind, instance };
    case "allKilled":
      return { kind };
    case "store":
      return { kind, instance, treatment: drawTreatment(randomness) };
    case "wholeStore":
      return { kind, treatment: drawTreatment(randomness) };
    case "worker": {
      const worker = index(randomness, size.workers);
      return { kind, worker, treatment: drawTreatment(randomness) };
    }
  }
}

function drawTreatment(randomness: Randomness): Treatment {
  const kind = draw(randomness, TREATMENT_KINDS);
  if (kind !== "delaying") return { kind };
  const delayMs = randomness.integer(10, LONGEST_DELAY_MS);
  return { kind, delayMs };
}

function draw<Item>(randomness: Randomness, items: readonly Item[]): Item {
  return items[index(randomness, items.length)]!;
}

function index(randomness: Randomness, count: number): number {
  return randomness.integer(0, count - 1);
}
