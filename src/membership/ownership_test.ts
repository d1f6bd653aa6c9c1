import assert from "node:assert/strict";
import { test } from "node:test";
import { desiredOwner, holderOf, memberState } from "./mod.ts";
import { createZoneModel, runStep, ZONE } from "./testing/zone_model.ts";

test("ownership: members cut off from each other still agree on the owners", () => {
  const zone = createZoneModel();
  runStep(zone, { kind: "cut", a: 0, b: 2 });
  runStep(zone, { kind: "cut", a: 2, b: 0 });
  for (let round = 0; round < 8; round++) {
    for (const a of [0, 1, 2]) runStep(zone, { kind: "beatAll", a, b: 0 });
    runStep(zone, { kind: "advance", a: 1, b: 1 });
    for (const a of [0, 2]) runStep(zone, { kind: "advance", a, b: 0 });
  }
  const views = zone.instances.map((each) => each.membership);
  assert.equal(memberState(views[0]!, holderOf(views[2]!.self)), "dead");
  for (let number = 0; number < 50; number++) {
    const owners = views.map((view) => desiredOwner(view, worker(number))?.id);
    assert.equal(new Set(owners).size, 1, `worker ${number}: ${owners}`);
  }
});

function worker(number: number) {
  return {
    id: `w${number}`,
    url: `http://127.0.0.1/w${number}`,
    zone: ZONE,
    region: "rwanda",
    rack: `r${number}`,
  };
}
