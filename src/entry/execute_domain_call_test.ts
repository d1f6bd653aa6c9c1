import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  isHiddenFrom as isJobHiddenFrom,
  type JobCaller,
} from "../domain/mod.ts";
import {
  createBench,
  policy,
  step,
  submit,
} from "../domain/testing/domain_bench.ts";
import type {
  DomainOwner,
  DomainQueues,
  DomainSearch,
  DomainSearchOptions,
  OwnedDomains,
} from "../ownership/mod.ts";
import {
  type DomainCallHost,
  executeDomainCall,
} from "./execute_domain_call.ts";
import { partitionOf } from "./partition_of.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

const REQUEST = { id: "a", specification: "text", steps: [step()] };
const PARTITION_COUNT = 8;
const HOME = partitionOf(policy().service, PARTITION_COUNT);
const OTHER = (HOME + 1) % PARTITION_COUNT;
const SUBMISSION = {
  kind: "submit",
  partition: HOME,
  request: REQUEST,
  policy: policy(),
} as const;
const CANCELLATION = {
  kind: "cancel",
  partition: HOME,
  job: "a",
  queue: policy().queue,
} as const;

type OwnerOptions = {
  partition?: number;
  jobs?: string[];
  cancelled?: string[];
  /** Partitions of the other domains that have recorded the queue. */
  sharers?: number[];
};

function createOwner(options: OwnerOptions = {}) {
  const { partition = HOME, jobs = [], cancelled = [], sharers = [] } = options;
  const calls: string[] = [];
  const claims: string[] = [];
  const owner = {
    partition,
    epoch: 5,
    recordQueue: () => Promise.resolve(undefined),
    hasJob: (id: string) => jobs.includes(id),
    isHiddenFrom: () => false,
    hasCancelled: (id: string) => cancelled.includes(id),
    sharersOf: () =>
      sharers.map((number): DomainQueues => ({
        partition: number,
        epoch: 7,
        queues: [{ queue: policy().queue }],
      })),
    claim(id: string) {
      claims.push(id);
      return () => claims.pop();
    },
    submit({ id }: { id: string }, _policy: unknown, options = {}) {
      const isRefusable = "mayRefuse" in options && options.mayRefuse === true;
      calls.push(isRefusable ? `submit ${id}, or refuse` : `submit ${id}`);
      return Promise.resolve({ kind: "accepted" });
    },
    cancel(id: string) {
      calls.push(`cancel ${id}`);
      return Promise.resolve({ kind: "unknownJob" });
    },
  };
  return { owner: owner as unknown as DomainOwner, calls, claims };
}

/** A host with one owner; another instance owns all other domains. */
function createHost(
  owners: DomainOwner[],
  search: (
    partitions: number[],
    options: DomainSearchOptions,
  ) => DomainSearch | undefined = () => undefined,
): DomainCallHost {
  return {
    clock: createManualClock(),
    logger: silentLogger,
    partitionCount: PARTITION_COUNT,
    self: "self",
    directory: {
      ownerOf: () => Promise.resolve("peer"),
      refresh: () => Promise.resolve(),
      readStore: () => Promise.resolve(undefined),
      knownOwners: () => ({}),
      recordOwner() {},
      forgetOwner() {},
      waitForOwnerChange: () => new Promise(() => {}),
    },
    ownedDomains: {
      ownerOf: (partition: number) =>
        Promise.resolve(owners.find((owner) => owner.partition === partition)),
      loadedOwners: () => owners,
    } as unknown as OwnedDomains,
    findJobAt: (_instance, _job, partitions, options) =>
      Promise.resolve(search(partitions, options)),
    signal: new AbortController().signal,
  };
}

describe("a job that another domain of its instance has", () => {
  // Guards against a job that runs twice: its queue moved to another service, and
  // the instance that got the repeated submission has started since, so that it
  // does not know the service before.
  it("is not accepted by a second domain", async () => {
    const former = createOwner({ partition: OTHER, jobs: ["a"] });
    const present = createOwner();
    const host = createHost([present.owner, former.owner]);
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "accepted" });
    assert.deepEqual(former.calls, ["submit a"]);
    assert.deepEqual(present.calls, []);
  });

  // Guards against UNASKED: a queue moved to another service between a
  // cancellation and the submission that it was meant for, which was held up.
  it("ends in the domain in which it was cancelled", async () => {
    const former = createOwner({ partition: OTHER, cancelled: ["a"] });
    const present = createOwner();
    const host = createHost([present.owner, former.owner]);
    await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(former.calls, ["submit a"]);
    assert.deepEqual(present.calls, []);
  });
});

describe("a job of another client account", () => {
  function start(holder: string | undefined) {
    const { owner, calls } = createOwner({ jobs: ["a"] });
    const bench = createBench();
    submit(bench, "a", [step()], { clientAccount: holder });
    const isHiddenFrom = (job: string, caller: JobCaller) =>
      isJobHiddenFrom(bench.domain, job, caller);
    return { host: createHost([{ ...owner, isHiddenFrom }]), calls };
  }

  // Guards against callers that read or end the jobs of others by their ids.
  it("is unknown to a call, which has no effect", async () => {
    const { host, calls } = start("press");
    const read = { kind: "state", partition: HOME, job: "a" } as const;
    for (const call of [CANCELLATION, read]) {
      const foreign = { ...call, clientAccount: "desk" };
      const answer = await executeDomainCall(host, foreign);
      assert.deepEqual(answer, { kind: "unknownJob" });
    }
    assert.deepEqual(calls, []);
  });

  // Guards against a caller without a key that reads or ends the job of a client
  // account at the address of a public queue, also of another service.
  it("is unknown to a call without a key to another queue", async () => {
    const { host, calls } = start("press");
    const read = { kind: "state", partition: HOME, job: "a" } as const;
    for (const call of [CANCELLATION, read]) {
      const foreign = { ...call, queue: "open" };
      const answer = await executeDomainCall(host, foreign);
      assert.deepEqual(answer, { kind: "unknownJob" });
    }
    assert.deepEqual(calls, []);
  });

  it("is cancelled if it or the call has no account", async () => {
    for (const [holder, clientAccount] of [["press"], [undefined, "desk"]]) {
      const { host, calls } = start(holder);
      await executeDomainCall(host, { ...CANCELLATION, clientAccount });
      assert.deepEqual(calls, ["cancel a"]);
    }
  });
});

describe("a job that a domain of another instance may have", () => {
  // Guards against TWICE: the instances that forward the call know no other
  // domain of the queue, only the owner does.
  it("is not accepted by a second domain", async () => {
    const { owner, calls } = createOwner({ sharers: [OTHER] });
    const host = createHost([owner], (partitions) => ({
      partition: OTHER,
      searched: partitions,
    }));
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "elsewhere", partition: OTHER });
    assert.deepEqual(calls, []);
  });

  // Guards against REFUSED: another domain has the job, and it runs there.
  it("may be refused only once no other domain has it", async () => {
    const call = { ...SUBMISSION, mayRefuse: true };
    const held = createOwner({ sharers: [OTHER] });
    await executeDomainCall(
      createHost([held.owner], (partitions) => ({
        partition: OTHER,
        searched: partitions,
      })),
      call,
    );
    assert.deepEqual(held.calls, []);
    const free = createOwner();
    await executeDomainCall(createHost([free.owner]), call);
    assert.deepEqual(free.calls, ["submit a, or refuse"]);
  });

  it("is accepted if no other domain has it", async () => {
    const { owner, calls, claims } = createOwner({ sharers: [OTHER] });
    const searches: unknown[] = [];
    const host = createHost([owner], (partitions, options) => {
      searches.push([partitions, options.epochs, options.sharer?.partition]);
      assert.deepEqual(claims, ["a"]);
      return { searched: partitions };
    });
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "accepted" });
    assert.deepEqual(calls, ["submit a"]);
    assert.deepEqual(searches, [[[OTHER], { [OTHER]: 7 }, HOME]]);
    assert.deepEqual(claims, []);
  });

  // Guards against a job that is accepted by the new domain, since the owner of
  // its domain does not answer in time, or is not the owner any more.
  it("is not accepted if the search has no answer", async () => {
    for (const search of [undefined, { searched: [] }]) {
      const { owner, calls, claims } = createOwner({ sharers: [OTHER] });
      const host = createHost([owner], () => search);
      const answer = await executeDomainCall(host, SUBMISSION);
      assert.deepEqual(answer, { kind: "unsearched" });
      assert.deepEqual([calls, claims], [[], []]);
    }
  });

  // Guards against UNASKED: the id was cancelled in another domain.
  it("is handed to the domain in which its id was cancelled", async () => {
    const { owner, calls } = createOwner({ sharers: [OTHER] });
    const host = createHost([owner], (partitions) => ({
      cancelledIn: OTHER,
      searched: partitions,
    }));
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "elsewhere", partition: OTHER });
    assert.deepEqual(calls, []);
  });

  // Guards against UNASKED: the other domain does not know of the cancellation,
  // and accepts the submission that it was meant for.
  it("is not cancelled in a domain that does not have it", async () => {
    const { owner, calls } = createOwner({ sharers: [OTHER] });
    const host = createHost([owner], (partitions) => ({
      partition: OTHER,
      searched: partitions,
    }));
    const answer = await executeDomainCall(host, CANCELLATION);
    assert.deepEqual(answer, { kind: "elsewhere", partition: OTHER });
    assert.deepEqual(calls, []);
  });

  // Guards against TWICE: two domains search each other for the same job at the
  // same time, and both accept it.
  it("is left to a domain with a lower number that claims it", async () => {
    const { owner, calls } = createOwner({ sharers: [HOME - 1] });
    const host = createHost([owner], (partitions) => ({
      claimedIn: HOME - 1,
      searched: partitions,
    }));
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "unsearched" });
    assert.deepEqual(calls, []);
  });

  it("waits for a domain with a higher number that claims it", async () => {
    const { owner, calls } = createOwner({ sharers: [HOME + 1] });
    let searches = 0;
    const host = createHost([owner], (partitions) => {
      searches += 1;
      const claimedIn = searches < 3 ? HOME + 1 : undefined;
      return { claimedIn, searched: partitions };
    });
    const answer = await executeDomainCall(host, SUBMISSION);
    assert.deepEqual(answer, { kind: "accepted" });
    assert.deepEqual(calls, ["submit a"]);
    assert.equal(searches, 3);
  });

  // Guards against a job that never runs: a domain without workers of its service
  // accepts it, since it had the job while another domain searched it.
  it("is accepted only by the domain of its service", async () => {
    const { owner, calls } = createOwner({ partition: OTHER });
    const host = createHost([owner]);
    const call = { ...SUBMISSION, partition: OTHER };
    const answer = await executeDomainCall(host, call);
    assert.deepEqual(answer, { kind: "elsewhere", partition: HOME });
    assert.deepEqual(calls, []);
  });
});
