import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  findRestartFault,
  type RestartFaults,
} from "./testing/restart_model.ts";

const SEEDS = 20;
/** Odds of what does not occur. */
const NEVER = 1_000_000_000;

const SECONDS_LATER: RestartFaults = {
  maxUncutMs: 3_000,
  lateCallOdds: NEVER,
  hasTakeovers: false,
  minUptimeMs: 500,
  reopenedLinkOdds: NEVER,
  durationMs: 30_000,
};
const AT_ONCE = { ...SECONDS_LATER, maxUncutMs: 300 };
/** Workers live for longer than the longest lease. */
const LONG_LIVES = { minUptimeMs: 11_000, durationMs: 80_000 };

/** Situations in which calls reach a later incarnation of their worker. */
const SITUATIONS: Record<string, RestartFaults> = {
  "are cut off seconds later": SECONDS_LATER,
  "are cut off at once": AT_ONCE,
  "carry calls out seconds late": { ...SECONDS_LATER, lateCallOdds: 50 },
  "lose their owners": { ...SECONDS_LATER, hasTakeovers: true },
  "live for long before": { ...AT_ONCE, ...LONG_LIVES },
  "live for long before, and lose their links": {
    ...AT_ONCE,
    ...LONG_LIVES,
    reopenedLinkOdds: 100,
  },
};

// Guards against TWICE: a worker that restarts takes a lease, or an
// acknowledgement of run ends, that was meant for its former incarnation.
describe(`tasks run once, ${SEEDS} seeds, on workers that restart and`, () => {
  for (const [situation, faults] of Object.entries(SITUATIONS)) {
    it(situation, async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const fault = await findRestartFault(seed, faults);
        assert.equal(fault, undefined, `seed ${seed}`);
      }
    });
  }
});
