import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as v from "valibot";

const FAIL_RATE_STEPS = 1_000_000;

/** Entries of a control call that every stand-in understands. */
export const faultControlEntries = {
  /** Delay of each answer after the call took effect, in milliseconds. */
  lagMs: v.optional(v.number()),
  /** Upper bound of a random delay on top, in milliseconds. */
  jitterMs: v.optional(v.number()),
  /** Share of calls, from 0 to 1, that fail before they take effect. */
  failRate: v.optional(v.number()),
  /** How many answers are lost after the call took effect. */
  loseAnswers: v.optional(v.number()),
  /** Only answers to this path are lost. */
  losePath: v.optional(v.string()),
  /** Whether every call fails without effect and open connections break. */
  down: v.optional(v.boolean()),
  /** Makes the connections that are open now silent for good. */
  silent: v.optional(v.boolean()),
};

/** Schema of the faults that every stand-in can be told to show. */
export const faultControlSchema = v.object(faultControlEntries);

/** A change of the faults that a stand-in shows. */
export type FaultControl = v.InferOutput<typeof faultControlSchema>;

/** The faults that a stand-in shows at present. */
export type Faults = {
  lagMs: number;
  jitterMs: number;
  failRate: number;
  loseAnswers: number;
  losePath: string | undefined;
  down: boolean;
  /** Returns an integer from `low` to `high`, both included. */
  random(low: number, high: number): number;
};

/** Builds faults that show nothing yet, with seeded randomness. */
export function createFaults(seed: number): Faults {
  const generator = xoroshiro128plus(seed);
  return {
    lagMs: 0,
    jitterMs: 0,
    failRate: 0,
    loseAnswers: 0,
    losePath: undefined,
    down: false,
    random: (low, high) => uniformInt(generator, low, high),
  };
}

/** Applies a change to the faults; what the change leaves out stays. */
export function applyFaultControl(
  faults: Faults,
  control: FaultControl,
): void {
  faults.lagMs = control.lagMs ?? faults.lagMs;
  faults.jitterMs = control.jitterMs ?? faults.jitterMs;
  faults.failRate = control.failRate ?? faults.failRate;
  faults.down = control.down ?? faults.down;
  if (control.loseAnswers === undefined) return;
  faults.loseAnswers = control.loseAnswers;
  faults.losePath = control.losePath;
}

/** Draws whether the next call fails before it takes effect. */
export function drawFailure(faults: Faults): boolean {
  if (faults.failRate <= 0) return false;
  const drawn = faults.random(0, FAIL_RATE_STEPS - 1);
  return drawn < faults.failRate * FAIL_RATE_STEPS;
}

/** Draws the delay of the next answer, in milliseconds. */
export function drawLagMs(faults: Faults): number {
  if (faults.jitterMs <= 0) return faults.lagMs;
  return faults.lagMs + faults.random(0, faults.jitterMs);
}

/** Tells whether the answer to a path is lost, and counts it. */
export function takeLostAnswer(faults: Faults, path: string): boolean {
  if (faults.loseAnswers <= 0) return false;
  if (faults.losePath !== undefined && faults.losePath !== path) return false;
  faults.loseAnswers -= 1;
  return true;
}
