import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AccountWait } from "../../domain/mod.ts";
import { NO_RESOURCES, type Resources } from "../../model/mod.ts";
import type { Allotment } from "./allotment_records.ts";
import {
  type AllotmentSituation,
  limitUnder,
  planAllotment,
} from "./plan_allotment.ts";

const CAP = cpu(100, Infinity);

/** Memory has no cap, so that any amount of it may be allocated. */
function cpu(cpuMillis: number, rest = 0): Resources {
  return { cpuMillis, memoryMb: rest, accelerators: rest };
}

function waitOf(atOnce: number, total = atOnce): AccountWait {
  const holdsOthers = true;
  return { atOnce: cpu(atOnce, 5), total: cpu(total, 5), holdsOthers };
}

/** A domain that runs something, and what it plans. */
type Party = { runs: number; wait?: AccountWait | undefined };

function situation(
  changes: Partial<AllotmentSituation>,
  runs = 0,
): AllotmentSituation {
  return {
    cap: CAP,
    own: { held: cpu(50) },
    others: [{ held: cpu(50) }],
    placed: cpu(runs, 9),
    possible: cpu(runs, 9),
    recentPeak: NO_RESOURCES,
    wait: undefined,
    hasUsedClaim: true,
    domains: 2,
    isInUse: true,
    ...changes,
  };
}

/**
 * Lets two domains plan in turn, and start what waits as soon as it fits; of
 * the second one, at first one more time.
 *
 * @returns the allotments in the end
 */
function settle(parties: [Party, Party], rounds = 12): Allotment[] {
  const held: Allotment[] = [{ held: cpu(50) }, { held: cpu(50) }];
  for (let round = 0; round < rounds; round += 1) {
    for (const [index, party] of parties.entries()) {
      const others = [held[1 - index]!];
      const own = held[index];
      const known = situation({ own, others, wait: party.wait }, party.runs);
      const planned = planAllotment(known) ?? { held: NO_RESOURCES };
      held[index] = planned;
      const sum = held[0]!.held.cpuMillis + held[1]!.held.cpuMillis;
      assert.ok(sum <= CAP.cpuMillis, `${sum} are held`);
      const limit = limitUnder(
        { cap: CAP, own: planned, others },
        planned.held,
      );
      const { wait, runs } = party;
      if (wait === undefined) continue;
      if (runs + wait.atOnce.cpuMillis > limit.cpuMillis) continue;
      party.runs += wait.atOnce.cpuMillis;
      party.wait = undefined;
    }
  }
  return held;
}

describe("the allotment of a domain", () => {
  it("starts as an equal part of the cap, and then does not change", () => {
    const first = planAllotment(situation({ own: undefined, others: [] }));
    assert.deepEqual(first, { held: cpu(50) });
    const running = situation({ own: first }, 30);
    assert.deepEqual(planAllotment(running), first);
  });

  // Guards against room that lies idle in a domain without work, since all work
  // of the account moves to queues of another service.
  it("grows to the cap where all demand moves to its domain", () => {
    const hot: Party = { runs: 50, wait: waitOf(10, 400) };
    const [held] = settle([hot, { runs: 0 }]);
    assert.equal(held?.held.cpuMillis, 100);
  });

  it("keeps part of what its domain used lately", () => {
    const spare = { order: 1, claimed: NO_RESOURCES, spare: cpu(50) };
    const planned = planAllotment(situation({
      others: [{ held: cpu(50), request: spare }],
      recentPeak: cpu(40, 9),
    }));
    assert.equal(planned?.held.cpuMillis, 25);
  });

  // A burst in one domain holds nearly the whole cap when the other one gets
  // work: it has to come down to its part as its tasks end.
  it("falls to an equal part where both domains want all", () => {
    const others: Allotment[] = [{
      held: cpu(10),
      request: { order: 1, claimed: cpu(40), spare: cpu(50) },
    }];
    const busy = { own: { held: cpu(90) }, others, wait: waitOf(5, 500) };
    const planned = planAllotment(situation(busy, 70));
    assert.equal(planned?.held.cpuMillis, 70);
    const limit = limitUnder({ ...busy, cap: CAP }, cpu(70));
    assert.deepEqual(limit, cpu(50, Infinity));
  });

  it("requests an equal part where another domain holds more", () => {
    const planned = planAllotment(situation({
      own: { held: cpu(10) },
      others: [{ held: cpu(90) }],
      wait: waitOf(5, 500),
    }, 10));
    assert.deepEqual(planned?.request?.claimed, cpu(40));
    assert.deepEqual(planned?.request?.spare, cpu(50));
  });

  it("falls to what runs where the cap falls below that", () => {
    const cap = cpu(40, Infinity);
    const planned = planAllotment(situation({ cap }, 30));
    assert.deepEqual(planned, { held: cpu(30) });
    const others = [{ held: cpu(30) }];
    const limit = limitUnder({ cap, own: planned, others }, cpu(30));
    assert.equal(limit.cpuMillis, 10);
  });

  it("goes to a gang that is wider than half of the cap", () => {
    const gang: Party = { runs: 0, wait: waitOf(80) };
    const [held] = settle([gang, { runs: 20 }]);
    assert.equal(gang.wait, undefined);
    assert.equal(held?.held.cpuMillis, 80);
  });

  // Guards against two gangs that each hold half of what the other one needs.
  it("serves one of two wide gangs, and then the other", () => {
    const first: Party = { runs: 0, wait: waitOf(80) };
    const second: Party = { runs: 0, wait: waitOf(70) };
    settle([first, second]);
    assert.equal(first.wait, undefined);
    assert.notEqual(second.wait, undefined);
    first.runs = 0;
    settle([first, second]);
    assert.equal(second.wait, undefined);
  });

  // LOST: tasks that run until they are cancelled keep a gang from its room for
  // ever; one of them that has failed has to start again all the same.
  it("does not stop other domains for a gang, but by turns", () => {
    const gang: Party = { runs: 0, wait: waitOf(90) };
    const lasting: Party = { runs: 25 };
    settle([gang, lasting]);
    Object.assign(lasting, { runs: 20, wait: waitOf(5) });
    settle([gang, lasting]);
    assert.notEqual(lasting.wait, undefined);
    gang.wait = { ...waitOf(90), holdsOthers: false };
    settle([gang, lasting]);
    assert.equal(lasting.wait, undefined);
    gang.wait = waitOf(90);
    lasting.runs = 10;
    settle([gang, lasting]);
    assert.equal(gang.wait, undefined);
  });

  it("does not grow for a step that is wider than the cap", () => {
    const planned = planAllotment(situation({ wait: waitOf(120) }, 10));
    assert.deepEqual(planned, { held: cpu(50) });
  });

  it("counts what may run without a record as used", () => {
    const request = { order: 1, claimed: cpu(40), spare: NO_RESOURCES };
    const others = [{ held: cpu(50), request }];
    const known = situation({ others, possible: cpu(45, 9) }, 10);
    assert.equal(planAllotment(known)?.held.cpuMillis, 45);
  });

  // A worker of which nothing is known may run any number of tasks.
  it("claims nothing for starts that may not have taken place", () => {
    const wait = waitOf(5);
    const known = situation({ wait, possible: cpu(Infinity, 9) }, 10);
    assert.deepEqual(planAllotment(known), { held: cpu(50) });
  });

  it("ends where its domain is not in use and runs nothing", () => {
    assert.equal(planAllotment(situation({ isInUse: false })), undefined);
    const running = planAllotment(situation({ isInUse: false }, 20));
    assert.deepEqual(running, { held: cpu(20) });
  });
});
