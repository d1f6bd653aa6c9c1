import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LatencyFleet,
  runLatencyFleet,
} from "../testing/latency_fleet.ts";
import {
  createInterference,
  findVerdict,
  forgetUnseenPairs,
  learnLatency,
  MAX_VICTIMS,
  PAIR_MEMORY_MS,
} from "./interference.ts";
import { MAX_SOURCES } from "./latency_model.ts";

const FLEET: LatencyFleet = {
  seed: 1,
  workers: 10,
  seconds: 60,
  sources: ["a", "b"],
  effectOf: (source) => source === "a" ? Math.LN2 : 0,
  noise: 0.2,
};

describe("a filler that doubles a service's tail", () => {
  // Guards against slowing down, or keeping apart, the wrong image.
  it("is told from one that does not mind, on the same workers", () => {
    const interference = createInterference();
    runLatencyFleet(interference, FLEET);
    const verdict = findVerdict(interference, "v", "a");
    assert.ok(verdict.kind === "harmful");
    assert.ok(Math.abs(verdict.effect - Math.LN2) < 0.25);
    assert.notEqual(findVerdict(interference, "v", "b").kind, "harmful");
  });

  // Guards against blaming one of two images that no reading tells apart.
  it("is not told from one that always runs with it", () => {
    const interference = createInterference();
    const exposures = [new Map(), new Map([["a", 1], ["b", 1]])];
    for (let atMs = 0; atMs < 60_000; atMs += 50) {
      const isBeside = atMs % 4_000 < 2_000;
      const sample = {
        logRatio: isBeside ? 0 : -Math.LN2,
        exposures: exposures[isBeside ? 1 : 0]!,
        lastDeviation: 0,
      };
      learnLatency(interference, "v", sample, atMs);
    }
    for (const source of ["a", "b"]) {
      assert.equal(findVerdict(interference, "v", source).kind, "unproven");
    }
  });

  // Guards against keeping apart for good what has changed: the amounts differ
  // within seconds, and a pair that is kept apart gives no more readings.
  it("is no longer separated seconds after it stops, or a minute apart", () => {
    const interference = createInterference();
    const effectOf = (source: string, atMs: number) =>
      source === "a" && atMs < 30_000 ? Math.LN2 : 0;
    const verdicts = new Map<number, string>();
    runLatencyFleet(
      interference,
      { ...FLEET, effectOf },
      (atMs) => verdicts.set(atMs, findVerdict(interference, "v", "a").kind),
    );
    assert.equal(verdicts.get(29_000), "harmful");
    assert.notEqual(verdicts.get(40_000), "harmful");

    const apart = createInterference();
    runLatencyFleet(apart, FLEET);
    forgetUnseenPairs(apart, FLEET.seconds * 1_000 + PAIR_MEMORY_MS / 2);
    assert.equal(findVerdict(apart, "v", "a").kind, "harmful");
    forgetUnseenPairs(apart, FLEET.seconds * 1_000 + PAIR_MEMORY_MS);
    assert.equal(findVerdict(apart, "v", "a").kind, "unproven");
  });
});

describe("two images that do not mind each other", () => {
  it("are known to be harmless with many readings, not with few", () => {
    const seen = [8, 100].map((workers) => {
      const interference = createInterference();
      const effectOf = () => 0;
      const seconds = workers === 8 ? 5 : 60;
      runLatencyFleet(interference, { ...FLEET, workers, seconds, effectOf });
      return findVerdict(interference, "v", "a").kind;
    });
    assert.deepEqual(seen, ["unproven", "harmless"]);
  });
});

describe("noise alone", () => {
  const RUNS = 40;
  /** Runs of a minute in which any pair may be separated: one in twenty. */
  const MAX_FALSE_RUNS = RUNS / 20;
  const shapes: Record<string, Partial<LatencyFleet>> = {
    "of each reading": { noise: 0.4 },
    "that lasts for seconds": { noise: 0.3, correlation: 0.9 },
    "that differs by worker": { noise: 0.2, offset: 0.3 },
    "of a load that rises everywhere": { noise: 0.2, wave: 0.4 },
    "with readings ten times too high": { noise: 0.2, spikePercent: 5 },
    "to which pacing reacts": { noise: 0.4, correlation: 0.5, isPaced: true },
  };
  // Guards against keeping apart, without a reason, what would have room.
  for (const [name, shape] of Object.entries(shapes)) {
    for (const workers of [4, 30]) {
      it(`${name} separates nothing on ${workers} workers`, () => {
        let falseRuns = 0;
        for (let seed = 1_001; seed <= 1_000 + RUNS; seed += 1) {
          const interference = createInterference();
          const sources = ["a", "b", "c", "d"];
          let isSeparated = false;
          const effectOf = () => 0;
          runLatencyFleet(
            interference,
            { ...FLEET, ...shape, seed, sources, workers, effectOf },
            () =>
              isSeparated ||= sources.some((source) =>
                findVerdict(interference, "v", source).kind === "harmful"
              ),
          );
          if (isSeparated) falseRuns += 1;
        }
        assert.ok(falseRuns <= MAX_FALSE_RUNS, `${falseRuns} of ${RUNS} runs`);
      });
    }
  }
});

describe("thousands of images", () => {
  // Guards against an owner whose memory grows with what callers name.
  it("take bounded memory, and leave the recent ones known", () => {
    const interference = createInterference();
    for (let index = 0; index < 20_000; index += 1) {
      const sample = {
        logRatio: index % 3,
        exposures: new Map([[`s${index}`, 1], [`t${index % 5_000}`, 2]]),
        lastDeviation: 0,
      };
      learnLatency(interference, `v${index % 2_000}`, sample, index * 10);
    }
    const models = [...interference.models.values()];
    assert.equal(models.length, MAX_VICTIMS);
    for (const { sources, means, covariance } of models) {
      assert.ok(sources.length <= MAX_SOURCES);
      assert.equal(means.length, sources.length + 1);
      assert.ok(covariance.every((row) => row.length === means.length));
      assert.ok(means.every(Number.isFinite));
    }
    assert.ok(interference.models.has("v1999"));
  });
});
