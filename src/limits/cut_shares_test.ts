import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Manifest, Resources } from "../model/mod.ts";
import {
  createShareBook,
  cutShares,
  forgetUsage,
  noteUsage,
  noteZoneCapacity,
} from "./mod.ts";

const SEED = 20_254;
const SHARE = amount(10_000);

test("shares: zones by capacity, instances by demand", () => {
  const book = createShareBook();
  noteZoneCapacity(book, "kigali", amount(300));
  noteZoneCapacity(book, "huye", amount(100));
  const cut = (id: string) =>
    cutShares(book, manifest(), { zone: "kigali", id }).get("proofs");
  assert.deepEqual(cut("kigali-1"), amount(7_500));
  noteUsage(book, digest("kigali-1", 30));
  noteUsage(book, digest("kigali-2", 10));
  assert.deepEqual(cut("kigali-1"), amount(5_437));
  assert.deepEqual(cut("kigali-2"), amount(2_062));
  // Nothing more is heard of the peer: its part stays with it.
  noteUsage(book, digest("kigali-1", 30));
  assert.deepEqual(cut("kigali-1"), amount(5_437));
  forgetUsage(book, "kigali-2");
  assert.deepEqual(cut("kigali-1"), amount(7_500));
});

test("shares: the parts of all instances never exceed the share", () => {
  const figures = fc.array(
    fc.record({ capacity: fc.nat(), demands: fc.array(fc.nat()) }),
    { minLength: 1, maxLength: 6 },
  );
  fc.assert(
    fc.property(figures, fc.nat(), (zones, share) => {
      let sum = 0;
      zones.forEach((zone, index) => {
        const book = createShareBook();
        zones.forEach(({ capacity }, other) =>
          noteZoneCapacity(book, `zone-${other}`, amount(capacity))
        );
        const ids = zone.demands.map((_, number) => `instance-${number}`);
        ids.forEach((id, n) => noteUsage(book, digest(id, zone.demands[n]!)));
        for (const id of ids) {
          const self = { zone: `zone-${index}`, id };
          const parts = cutShares(book, manifest(amount(share)), self);
          sum += parts.get("proofs")!.memoryMb;
        }
      });
      assert.ok(sum <= share, `${sum} of ${share}`);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

function manifest(share: Resources = SHARE): Manifest {
  return {
    customers: [{ name: "press" }],
    agreements: [{ name: "proofs", customer: "press", share, work: [] }],
  };
}

function digest(instance: string, demand: number) {
  return { instance, demand: new Map([["proofs", amount(demand)]]) };
}

function amount(value: number): Resources {
  return { cpuMillis: value, memoryMb: value, accelerators: value };
}
