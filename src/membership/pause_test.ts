import assert from "node:assert/strict";
import { test } from "node:test";
import { advance, holderOf, memberState, othersRuledOut } from "./mod.ts";
import { createZoneModel, runStep, ZONE } from "./testing/zone_model.ts";

test("membership: a pause excuses silence, but is no heartbeat", () => {
  const zone = createZoneModel();
  const [first, second] = zone.instances.map((each) => each.membership);
  const peer = holderOf(second!.self);
  advance(first!, 10);
  advance(first!, 60_000);
  assert.equal(memberState(first!, peer), "live");
  assert.equal(othersRuledOut(first!, ZONE, 30_000), false);
  zone.nowMs = 60_000;
  for (const a of [1, 2]) runStep(zone, { kind: "beat", a, b: 0 });
  assert.ok(othersRuledOut(first!, ZONE, 30_000));
});
