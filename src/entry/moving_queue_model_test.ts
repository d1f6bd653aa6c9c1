import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type MovingQueueFaults,
  simulateMovingQueue,
} from "./testing/moving_queue_model.ts";

const SEEDS = 12;
/** Odds of what does not occur. */
const NEVER = 1_000_000_000;

const ONE_MOVE: MovingQueueFaults = {
  callsPerJob: 5,
  jobs: 40,
  movesAtMs: [3_000],
  maxLateMs: 2_500,
  takeovers: 0,
  storeFaultOdds: NEVER,
  peerFaultOdds: NEVER,
  hasCancels: false,
  quietMs: 0,
};

/** Situations in which instances disagree on the domain of a queue. */
const SITUATIONS: Record<string, MovingQueueFaults> = {
  "moves once": ONE_MOVE,
  "moves away and back": { ...ONE_MOVE, movesAtMs: [3_000, 4_000, 6_000] },
  "moves while its domains change their owners": {
    ...ONE_MOVE,
    movesAtMs: [2_000, 5_000],
    takeovers: 8,
  },
  "moves while its jobs are cancelled": {
    ...ONE_MOVE,
    takeovers: 3,
    hasCancels: true,
  },
  "moves while calls are lost or held up": {
    ...ONE_MOVE,
    movesAtMs: [3_000, 5_000],
    takeovers: 4,
    storeFaultOdds: 30,
    peerFaultOdds: 15,
    hasCancels: true,
  },
  "moves when its records are dropped as unused": {
    ...ONE_MOVE,
    // The records are dropped soon after 120 s.
    quietMs: 119_950,
    movesAtMs: [200],
  },
  "moves while an instance is late by a long time": {
    ...ONE_MOVE,
    maxLateMs: 20_000,
    takeovers: 4,
  },
};

// Guards against TWICE, LOST and UNASKED: instances that do not know the same
// configuration send a job to two domains, and both accept it; or a domain that
// does not have it answers for it.
describe(`a job is in one domain, ${SEEDS} seeds, if its queue`, () => {
  for (const [situation, faults] of Object.entries(SITUATIONS)) {
    it(situation, async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const { broken, accepted } = await simulateMovingQueue(seed, faults);
        assert.deepEqual(broken, [], `seed ${seed}`);
        assert.ok(accepted > 0, `seed ${seed}`);
      }
    });
  }
});
