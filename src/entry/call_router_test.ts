import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { policy, step } from "../domain/testing/domain_bench.ts";
import type { QueueAddress, QueueRecord } from "../ownership/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import {
  type CallRouter,
  type CallRouterHost,
  createCallRouter,
  type PeerCallOutcome,
} from "./call_router.ts";
import { partitionOf } from "./partition_of.ts";
import { createReachability } from "./reachability.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const TARGET = { queue: policy().queue, service: "desk" };
const present = partitionOf(TARGET.service, 4);
const REQUEST = { id: "a", specification: "text", steps: [step()] };

/** A router whose peer calls end with these outcomes in order; the last repeats. */
function routerAnsweredBy(...outcomes: PeerCallOutcome[]): {
  router: CallRouter;
  calls: string[];
} {
  return routerWithJobAt(undefined, outcomes);
}

/** The same, where a search finds the job in another partition. */
function routerWithJobAt(
  jobPartition: number | undefined,
  outcomes: PeerCallOutcome[],
  overrides: Partial<CallRouterHost> = {},
): {
  router: CallRouter;
  calls: string[];
} {
  const clock = createManualClock();
  const calls: string[] = [];
  const router = createCallRouter({
    clock,
    logger: silentLogger,
    counters: createCounters(),
    directory: {
      ownerOf: () => Promise.resolve(`peer-${calls.length}`),
      refresh: () => Promise.resolve(),
      readStore: () => Promise.resolve(undefined),
      knownOwners: () => ({ 9: "peer" }),
      recordOwner() {},
      forgetOwner() {},
      waitForOwnerChange: () => new Promise(() => {}),
    },
    ownedDomains: {
      ownerOf: () => Promise.resolve(undefined),
      assign() {},
      count: () => 0,
      owners: () => Promise.resolve([]),
      loadedOwners: () => [],
      find: () => Promise.resolve({ searched: [] }),
      release() {},
      close: () => Promise.resolve(),
    },
    self: "self",
    partitionCount: 4,
    async callPeer(instance, _call, timeoutMs) {
      const outcome = outcomes[Math.min(calls.length, outcomes.length - 1)]!;
      calls.push(instance);
      if (outcome.kind === "unknown") {
        await clock.sleep(timeoutMs, new AbortController().signal);
      }
      return outcome;
    },
    reachability: createReachability(clock),
    findJobAt: (_instance, _job, partitions) =>
      Promise.resolve({ partition: jobPartition, searched: partitions }),
    partitionsInUse: () => new Set([9]),
    isAssigned: (queue) => queue === TARGET.queue,
    queues: queuesOf(
      jobPartition === undefined ? [] : [recordOf(jobPartition)],
    ),
    signal: new AbortController().signal,
    ...overrides,
  });
  return { router, calls };
}

/** The queue records that an instance has read. */
function queuesOf(records: QueueRecord[]): CallRouterHost["queues"] {
  return { read: () => Promise.resolve(records), known: () => records };
}

/** The record of a domain that may have jobs of a queue. */
function recordOf(
  partition: number,
  queue: QueueAddress = { queue: policy().queue },
): QueueRecord {
  return { key: `${partition}/1/1`, partition, epoch: 1, queues: [queue] };
}

// Guards against jobs whose records have no room for the names of their queue.
describe("a submission to a queue with very long names", () => {
  it("is refused at once, and the longest names that fit are stored", async () => {
    const accepted = {
      kind: "answered",
      answer: { kind: "accepted" },
    } as const;
    const { router, calls } = routerAnsweredBy(accepted);
    const submitTo = async (queue: string) => {
      const submitted = await router.submit(REQUEST, policy({ queue }), 3_000);
      return submitted.kind;
    };
    assert.equal(await submitTo("q".repeat(15_000)), "done");
    assert.equal(await submitTo("q".repeat(16_000)), "unavailable");
    assert.equal(calls.length, 1);
  });
});

describe("a call whose owner changes", () => {
  it("is retried at the successor after its owner lost the domain", async () => {
    const { router, calls } = routerAnsweredBy(
      { kind: "answered", answer: { kind: "lost" } },
      { kind: "answered", answer: { kind: "accepted" } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "done");
    assert.deepEqual(calls, ["peer-0", "peer-1"]);
  });

  it("is retried when a frozen owner does not answer", async () => {
    const { router } = routerAnsweredBy(
      { kind: "unknown", cause: "no answer" },
      { kind: "answered", answer: { kind: "accepted" } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "done");
  });

  it("moves immediately to a successor that announces itself", async () => {
    let owner = "former";
    let notifyNewOwner = () => {};
    const { router } = routerWithJobAt(undefined, [], {
      directory: {
        ownerOf: () => Promise.resolve(owner),
        refresh: () => assert.fail("the store was queried"),
        readStore: () => Promise.resolve(undefined),
        knownOwners: () => ({ 0: owner, 1: owner, 2: owner, 3: owner }),
        recordOwner() {},
        forgetOwner() {},
        waitForOwnerChange: (_partition, called) =>
          new Promise((resolve) => {
            if (called !== owner) resolve();
            else notifyNewOwner = resolve;
          }),
      },
      callPeer(instance) {
        if (instance === "next") {
          const answer = { kind: "accepted" } as const;
          return Promise.resolve({ kind: "answered", answer });
        }
        owner = "next";
        queueMicrotask(() => notifyNewOwner());
        return new Promise(() => {});
      },
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "done");
  });

  it("ends undecided, not unavailable, once an owner may have executed it", async () => {
    const { router } = routerAnsweredBy(
      { kind: "unknown", cause: "no answer" },
      { kind: "unsent", cause: "refused" },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
  });

  // Guards against an answer that comes after the client has given up, since the
  // owners were read once more just before.
  it("ends in time although the owners are read slowly", async () => {
    const clock = createManualClock();
    const { signal } = new AbortController();
    const { router } = routerWithJobAt(undefined, [], {
      clock,
      directory: {
        ownerOf: () => Promise.resolve("frozen"),
        refresh: () => clock.sleep(300, signal),
        readStore: () => Promise.resolve(undefined),
        knownOwners: () => ({}),
        recordOwner() {},
        forgetOwner() {},
        waitForOwnerChange: () => new Promise(() => {}),
      },
      async callPeer(_instance, _call, timeoutMs) {
        await clock.sleep(timeoutMs, signal);
        return { kind: "unknown", cause: "no answer" };
      },
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
    assert.ok(clock.steadyMs() <= 3_000, `${clock.steadyMs()}`);
  });

  it("is refused without retries while the store is down", async () => {
    const { router, calls } = routerAnsweredBy(
      { kind: "answered", answer: { kind: "storeDown", silentMs: 3_000 } },
    );
    const longJob = { ...REQUEST, steps: [step({ estimateMs: 9_000 })] };
    const outcome = await router.submit(longJob, policy(), 3_000);
    assert.deepEqual(outcome, {
      kind: "unavailable",
      cause: "the store does not answer",
      retryAfterMs: 3_000,
    });
    assert.equal(calls.length, 1);
  });

  it("ends undecided if the store fails after an attempt of unknown outcome", async () => {
    const { router } = routerAnsweredBy(
      { kind: "unknown", cause: "no answer" },
      { kind: "answered", answer: { kind: "storeDown", silentMs: 900 } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
  });

  it("is refused at once, without a read of the store, by a short owner", async () => {
    const { router, calls } = routerAnsweredBy(
      { kind: "answered", answer: { kind: "overloaded", retryAfterMs: 2_400 } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "unavailable");
    assert.equal("retryAfterMs" in outcome && outcome.retryAfterMs, 2_400);
    assert.equal(calls.length, 1);
  });

  // Guards against REFUSED: the first attempt may still reach its owner.
  it("ends undecided if it is refused after an attempt of unknown outcome", async () => {
    const { router } = routerAnsweredBy(
      { kind: "unknown", cause: "no answer" },
      { kind: "answered", answer: { kind: "overloaded", retryAfterMs: 2_400 } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
  });

  // Owners of earlier versions get the messages of before.
  it("tells that it may be refused only for a client account", async () => {
    const sent: unknown[] = [];
    const { router } = routerWithJobAt(undefined, [], {
      callPeer(_instance, call) {
        sent.push("mayRefuse" in call ? call.mayRefuse : undefined);
        const answer = { kind: "accepted" } as const;
        return Promise.resolve({ kind: "answered", answer });
      },
    });
    await router.submit(REQUEST, policy(), 3_000);
    await router.submit(REQUEST, policy({ clientAccount: "shop" }), 3_000);
    assert.deepEqual(sent, [undefined, true]);
  });

  it("is refused well before its deadline when no owner can be reached", async () => {
    const { router, calls } = routerAnsweredBy({
      kind: "unsent",
      cause: "refused",
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "unavailable");
    assert.ok(calls.length < 20);
  });
});

describe("a job of a queue that changed its service", () => {
  it("is found in the domain that accepted it", async () => {
    const { router } = routerWithJobAt(9, [
      { kind: "answered", answer: { kind: "unknownJob" } },
      { kind: "answered", answer: { kind: "state", state: "running" } },
    ]);
    const outcome = await router.stateOf("a", TARGET, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: "running" });
  });

  // Guards against a job that is confirmed twice and lost: the domain that has
  // it may withdraw it as long as it is not stored.
  it("is confirmed by the domain that has it, and by no other", async () => {
    const partitions: number[] = [];
    const { router } = routerWithJobAt(9, [], {
      callPeer(_instance, { partition }) {
        partitions.push(partition);
        const answer = partition === 9
          ? { kind: "accepted" } as const
          : { kind: "elsewhere", partition: 9 } as const;
        return Promise.resolve({ kind: "answered", answer });
      },
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "done");
    assert.deepEqual(partitions, [present, 9]);
  });

  // Guards against REFUSED: a client is told that its job never runs, while it
  // runs in another domain, whose owner cannot reach the store.
  it("is not refused if the domain that has it cannot answer", async () => {
    const { router } = routerWithJobAt(9, [], {
      callPeer: (_instance, { partition }) =>
        Promise.resolve({
          kind: "answered",
          answer: partition === 9
            ? { kind: "storeDown", silentMs: 900 }
            : { kind: "elsewhere", partition: 9 },
        }),
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
  });

  it("ends undecided while its domains refer to each other", async () => {
    const { router } = routerWithJobAt(9, [], {
      callPeer: (_instance, { partition }) =>
        Promise.resolve({
          kind: "answered",
          answer: { kind: "elsewhere", partition: partition === 9 ? 1 : 9 },
        }),
    });
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
  });

  // Guards against a job that is reported as unknown, or accepted a second time
  // by the new domain, since the owner of its domain does not answer in time.
  it("is not reported as unknown if the search has no answer", async () => {
    const noAnswer = { findJobAt: () => Promise.resolve(undefined) };
    const { router } = routerWithJobAt(undefined, [
      { kind: "answered", answer: { kind: "unknownJob" } },
    ], noAnswer);
    const outcome = await router.stateOf("a", TARGET, 3_000);
    assert.equal(outcome.kind, "unavailable");
  });

  it("is not refused for good if the search has no answer", async () => {
    const { router, calls } = routerAnsweredBy(
      { kind: "answered", answer: { kind: "unsearched" } },
    );
    const outcome = await router.submit(REQUEST, policy(), 3_000);
    assert.equal(outcome.kind, "undecided");
    assert.ok(calls.length > 1);
  });

  // Guards against a 410 for an accepted job: only the owner knows that another
  // domain has used the queue since this instance read the records.
  it("is searched for in the domains that the owner names", async () => {
    const sharers = [{ partition: 2, epoch: 7, queues: [TARGET] }];
    const searches: unknown[] = [];
    const { router } = routerWithJobAt(undefined, [
      { kind: "answered", answer: { kind: "unknownJob", sharers } },
      { kind: "answered", answer: { kind: "state", state: "running" } },
    ], {
      partitionsInUse: () => new Set(),
      findJobAt(_instance, _job, partitions, { epochs }) {
        searches.push([partitions, epochs]);
        return Promise.resolve({ partition: 2, searched: partitions });
      },
    });
    const outcome = await router.stateOf("a", TARGET, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: "running" });
    assert.deepEqual(searches, [[[2], { 2: 7 }]]);
  });

  // Guards against a 410 for an accepted job: only a record in the store names
  // its domain, whose owner answers the search without having the domain.
  it("is not reported as unknown by an owner that lacks its domain", async () => {
    const { router } = routerWithJobAt(undefined, [
      { kind: "answered", answer: { kind: "unknownJob" } },
    ], {
      partitionsInUse: () => new Set(),
      queues: queuesOf([recordOf(9)]),
      findJobAt: () => Promise.resolve({ searched: [] }),
    });
    const outcome = await router.stateOf("a", TARGET, 3_000);
    assert.equal(outcome.kind, "unavailable");
  });

  it("is searched for again if an owner does not answer at first", async () => {
    let searches = 0;
    const { router } = routerWithJobAt(9, [
      { kind: "answered", answer: { kind: "unknownJob" } },
      { kind: "answered", answer: { kind: "state", state: "running" } },
    ], {
      findJobAt: () => {
        searches += 1;
        return Promise.resolve(
          searches === 1 ? undefined : { partition: 9, searched: [9] },
        );
      },
    });
    const outcome = await router.stateOf("a", TARGET, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: "running" });
  });

  // Guards against a call that is answered after its client has given up: each
  // of its parts took as long as the whole call may take.
  it("is answered within the timeout of its call", async () => {
    const clock = createManualClock();
    const { signal } = new AbortController();
    const timeoutsMs: number[] = [];
    const { router } = routerWithJobAt(9, [], {
      clock,
      async callPeer(_instance, { partition }, timeoutMs) {
        timeoutsMs.push(timeoutMs);
        await clock.sleep(partition === 9 ? timeoutMs : 800, signal);
        if (partition === 9) return { kind: "unknown", cause: "no answer" };
        return { kind: "answered", answer: { kind: "unknownJob" } };
      },
      async findJobAt() {
        await clock.sleep(400, signal);
        return { partition: 9, searched: [9] };
      },
    });
    await router.stateOf("a", TARGET, 1_500);
    assert.equal(timeoutsMs[1], 300);
  });

  it("leaves the other domain the rest of the timeout", async () => {
    const clock = createManualClock();
    const { signal } = new AbortController();
    const timeoutsMs: number[] = [];
    const { router } = routerWithJobAt(9, [], {
      clock,
      async callPeer(_instance, { partition }, timeoutMs) {
        timeoutsMs.push(timeoutMs);
        await clock.sleep(partition === 9 ? timeoutMs : 400, signal);
        if (partition === 9) return { kind: "unknown", cause: "no answer" };
        const answer = { kind: "elsewhere", partition: 9 } as const;
        return { kind: "answered", answer };
      },
    });
    await router.submit(REQUEST, policy(), 1_000);
    assert.equal(timeoutsMs.at(-1), 600);
  });
});

describe("the number of jobs that wait in a queue", () => {
  const ADDRESS = "desk.example/proofs/";

  /**
   * A router whose owners count the given jobs, by partition and queue. The owner
   * of the present domain names the records, if it knows them.
   */
  function routerCounting(
    counts: Record<string, number>,
    records: QueueRecord[] | undefined,
  ): CallRouter {
    return routerWithJobAt(undefined, [], {
      queues: queuesOf([]),
      callPeer(_instance, call) {
        assert.ok(call.kind === "pending");
        const jobs = counts[`${call.partition} ${call.queue}`];
        const isKnown = !call.namesSharers || records !== undefined;
        const sharers = call.namesSharers ? records : undefined;
        const answer = jobs === undefined || !isKnown
          ? { kind: "storeDown", silentMs: 900 } as const
          : { kind: "pending", jobs, sharers } as const;
        return Promise.resolve({ kind: "answered", answer });
      },
    }).router;
  }
  const target = { ...TARGET, address: ADDRESS };
  // Guards against MIXED: jobs that were accepted before the queue moved are not
  // counted, although they wait on.
  it("includes those in the domains of its earlier services", async () => {
    const counts = {
      [`${present} ${TARGET.queue}`]: 2,
      [`9 ${TARGET.queue}`]: 8,
    };
    const router = routerCounting(counts, [recordOf(9)]);
    const outcome = await router.pendingJobs(target, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: 10 });
  });

  it("includes those of a removed queue that had its address", async () => {
    const counts = { [`${present} ${TARGET.queue}`]: 2, "9 former": 8 };
    const records = [recordOf(9, { queue: "former", address: ADDRESS })];
    const router = routerCounting(counts, records);
    const outcome = await router.pendingJobs(target, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: 10 });
  });

  it("leaves out those of a queue that moved to another address", async () => {
    const counts = { [`${present} prints`]: 2 };
    const earlier = { queue: TARGET.queue, address: ADDRESS };
    const router = routerCounting(counts, [recordOf(9, earlier)]);
    const prints = { ...target, queue: "prints" };
    const outcome = await router.pendingJobs(prints, 3_000);
    assert.deepEqual(outcome, { kind: "done", value: 2 });
  });

  // Guards against MIXED: a number that leaves out a domain without an answer.
  it("is not known while an earlier domain does not answer", async () => {
    const counts = { [`${present} ${TARGET.queue}`]: 2 };
    const router = routerCounting(counts, [recordOf(9)]);
    const outcome = await router.pendingJobs(target, 3_000);
    assert.equal(outcome.kind, "unavailable");
  });

  it("is not known while the earlier domains are not", async () => {
    const counts = { [`${present} ${TARGET.queue}`]: 2 };
    const router = routerCounting(counts, undefined);
    const outcome = await router.pendingJobs(target, 3_000);
    assert.equal(outcome.kind, "unavailable");
  });
});
