import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import type { Assignment, StoreHost } from "../hosts/mod.ts";
import { joinGroup } from "./group_membership.ts";

const SELF = "self";
const PARTITION = { topic: "domains", number: 0 };

type Group = {
  /** Whether the store answers. */
  isUp: boolean;
  members: string[];
  joins: number;
  leaves: string[];
  /** The shortest membership that the store accepts, in milliseconds. */
  minTtlMs: number;
  /** The memberships that were accepted, in milliseconds. */
  acceptedTtlsMs: number[];
};

type Script = {
  group: Group;
  nowMs: number;
  waitMs(): number | undefined;
  /** Changes the script at the current time; called before each sleep ends. */
  onTime(script: Script): void;
  requiredMembers: number;
  hasWork: boolean;
  untilMs: number;
  /** The membership as set, in milliseconds. */
  ttlMs: number;
};

function emptyGroup(changes: Partial<Group> = {}): Group {
  return {
    isUp: true,
    members: [],
    joins: 0,
    leaves: [],
    minTtlMs: 0,
    acceptedTtlsMs: [],
    ...changes,
  };
}

/** Runs a membership until a given time; every sleep advances the clock. */
async function run(changes: Partial<Script>): Promise<Script> {
  const script: Script = {
    group: emptyGroup(),
    nowMs: 0,
    waitMs: () => 0,
    onTime: () => {},
    requiredMembers: 1,
    hasWork: true,
    untilMs: 10_000,
    ttlMs: 1_300,
    ...changes,
  };
  const { group } = script;
  const controller = new AbortController();
  const unused = () => Promise.reject(new Error("not used here"));
  const unanswered = () =>
    err({ kind: "unknown" as const, step: "store", message: "no answer" });
  const store: StoreHost = {
    append: unused,
    read: unused,
    newest: unused,
    owners: () =>
      Promise.resolve(
        group.isUp
          ? ok(group.members.map((member) => ({
            partition: PARTITION,
            member,
          })))
          : unanswered(),
      ),
    join({ ttlMs }) {
      if (!group.isUp) return Promise.resolve(unanswered());
      if (ttlMs < group.minTtlMs) {
        return Promise.resolve(
          err({ kind: "rejected", step: "store.join", message: "status 400" }),
        );
      }
      group.acceptedTtlsMs.push(ttlMs);
      group.joins += 1;
      if (!group.members.includes(SELF)) group.members.push(SELF);
      const assignment: Assignment = {
        generation: 1,
        partitions: [PARTITION],
      };
      return Promise.resolve(ok(assignment));
    },
    leave({ member }) {
      if (!group.isUp) return Promise.resolve(unanswered());
      group.leaves.push(member);
      group.members = group.members.filter((name) => name !== member);
      return Promise.resolve(ok(undefined));
    },
  };
  await joinGroup({
    store,
    clock: {
      nowMs: () => script.nowMs,
      steadyMs: () => script.nowMs,
      async sleep(delayMs) {
        await Promise.resolve();
        script.nowMs += delayMs;
        script.onTime(script);
        if (script.nowMs >= script.untilMs) controller.abort();
      },
    },
    logger: silentLogger,
    member: { group: "g", member: SELF, topic: "domains", ttlMs: script.ttlMs },
    requiredMembers: () => script.requiredMembers,
    hasWork: () => script.hasWork,
    candidateWaitMs: () => script.waitMs(),
    onAssignment() {},
    signal: controller.signal,
  }).done;
  return script;
}

describe("a candidate for the group of owners", () => {
  it("joins an empty group immediately if it ranks best", async () => {
    const { group } = await run({ untilMs: 200 });
    assert.ok(group.joins > 0);
  });

  it("does not join if a better candidate fills the vacancy", async () => {
    const { group } = await run({
      waitMs: () => 400,
      onTime({ nowMs, group }) {
        if (nowMs >= 100 && group.members.length === 0) {
          group.members = ["best"];
        }
      },
    });
    assert.equal(group.joins, 0);
  });

  it("waits for the list of other candidates after a store outage", async () => {
    let waitMs: number | undefined;
    const { group } = await run({
      waitMs: () => waitMs,
      group: emptyGroup({ isUp: false }),
      onTime(script) {
        if (script.nowMs >= 5_000) script.group.isUp = true;
        // The list of candidates arrives later, and then the best one joins.
        if (script.nowMs >= 5_200) waitMs = 600;
        if (script.nowMs >= 5_400) script.group.members = ["best"];
      },
    });
    assert.equal(group.joins, 0);
  });
});

describe("a member without work", () => {
  it("leaves a group that has enough members without it", async () => {
    const { group } = await run({
      hasWork: false,
      untilMs: 4_000,
      onTime({ nowMs, group }) {
        if (nowMs >= 500 && !group.members.includes("other")) {
          group.members.push("other");
        }
      },
      requiredMembers: 1,
    });
    // The first call ends the membership of an earlier process.
    assert.ok(group.leaves.length >= 2);
  });

  it("remains in a group that needs it", async () => {
    const { group } = await run({ hasWork: false, requiredMembers: 2 });
    // The first call ends the membership of an earlier process.
    assert.equal(group.leaves.length, 1);
    assert.ok(group.members.includes(SELF));
  });
});

// Guards against domains without an owner: a store that accepts no membership as
// short as the one that is set rejects each join.
describe("a membership that the store may find too short", () => {
  const LENGTHENING = 1.25;

  for (const minTtlMs of [0, 1_000, 1_300]) {
    it(`is as set where ${minTtlMs} ms are accepted`, async () => {
      const { group } = await run({ group: emptyGroup({ minTtlMs }) });
      assert.deepEqual([...new Set(group.acceptedTtlsMs)], [1_300]);
    });
  }

  for (const minTtlMs of [1_301, 2_000, 2_000.5, 10_000, 40_000]) {
    it(`is lengthened to ${minTtlMs} ms and little more`, async () => {
      const { group } = await run({ group: emptyGroup({ minTtlMs }) });
      const [ttlMs = 0, ...others] = new Set(group.acceptedTtlsMs);
      assert.deepEqual(others, [], "an accepted membership is kept");
      assert.ok(Number.isInteger(ttlMs));
      assert.ok(ttlMs >= minTtlMs);
      assert.ok(ttlMs <= Math.ceil(minTtlMs * LENGTHENING));
      assert.ok(group.members.includes(SELF));
    });
  }

  it("is as set again once the store rejects it for another reason", async () => {
    const { group } = await run({
      group: emptyGroup({ minTtlMs: Infinity }),
      onTime({ nowMs, group }) {
        if (nowMs >= 20_000) group.minTtlMs = 0;
      },
      untilMs: 30_000,
    });
    assert.ok(group.members.includes(SELF));
  });

  it("is not lengthened by an outage of the store", async () => {
    const { group } = await run({
      group: emptyGroup({ isUp: false }),
      onTime({ nowMs, group }) {
        if (nowMs >= 5_000) group.isUp = true;
      },
    });
    assert.deepEqual([...new Set(group.acceptedTtlsMs)], [1_300]);
  });
});
