/**
 * Loads of client accounts that compete for too little capacity. Each suite
 * names the load; without it, the excess of an account delays all others.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { digest } from "../base/mod.ts";
import type { Step } from "./job.ts";
import {
  type AccountLoad,
  createAccountLoad,
  play,
  type Stream,
  submitJob,
  takeOver,
  tally,
} from "./testing/account_load.ts";
import {
  ended,
  feedEvent,
  listing,
  reportFrom,
  step,
  tick,
} from "./testing/domain_bench.ts";

/** Ten workers run 20 of these a second. */
const SHORT = step({
  demand: { cpuMillis: 2_000, memoryMb: 100, accelerators: 0 },
  taskCount: 4,
  estimateMs: 500,
});
/** Ten workers run fewer than one of these a second. */
const WIDE = step({
  demand: { cpuMillis: 4_000, memoryMb: 100, accelerators: 0 },
  taskCount: 8,
  estimateMs: 3_000,
});
const WORKERS = 10;
const ALL_DONE_MS = 30_000;

function stream(
  account: string | undefined,
  perSecond: number,
  changes: Partial<Stream> = {},
): Stream {
  const always = { fromMs: 0, toMs: 10_000 };
  return { account, perSecond, ...always, step: SHORT, ...changes };
}

function playLoad(weights: Record<string, number>, streams: Stream[]) {
  const load = createAccountLoad(WORKERS, weights);
  play(load, streams, ALL_DONE_MS);
  return load;
}

function assertAllOnTime(load: AccountLoad, accounts: string[]): void {
  for (const account of accounts) {
    const { owed, onTime } = tally(load, account);
    assert.ok(owed > 0);
    assert.equal(onTime, owed, `${account}: ${onTime} of ${owed} on time`);
  }
}

function outcomesOf(load: AccountLoad): Set<string> {
  const jobs = [...load.bench.domain.jobs.values()];
  return new Set(jobs.map(({ job }) => job.outcome));
}

describe("one hot account beside a burst of the shortest kind", () => {
  const weights = { hot: 4, a: 4, b: 4, c: 4 };
  const burst = { fromMs: 2_000, toMs: 8_000 };
  const streams = [
    stream("hot", 25, burst),
    ...["a", "b", "c"].map((account) => stream(account, 6, burst)),
    ...["a", "b", "c"].map((account) => stream(account, 2)),
  ];

  it("makes no submission late that is within its account's rate", () => {
    const load = playLoad(weights, streams);
    assertAllOnTime(load, ["hot", "a", "b", "c"]);
    assert.ok(tally(load, "hot").refused > 0);
  });

  it("is refused only beyond the rate, and leaves nothing unserved", () => {
    const load = playLoad(weights, streams);
    assert.deepEqual(outcomesOf(load), new Set(["completed"]));
    for (const account of Object.keys(weights)) {
      const { owed } = tally(load, account, 2_000, 8_000);
      // Four a second for six seconds, and one second's worth.
      assert.ok(owed >= 24 && owed <= 28, `${account}: ${owed}`);
    }
  });
});

describe("three hot accounts", () => {
  const weights = { hot1: 2, hot2: 2, hot3: 2, a: 4, b: 4 };
  const burst = { fromMs: 2_000, toMs: 8_000 };

  it("share what the others leave", () => {
    const load = playLoad(weights, [
      ...["hot1", "hot2", "hot3"].map((hot) => stream(hot, 12, burst)),
      stream("a", 4),
      stream("b", 4),
    ]);
    assertAllOnTime(load, Object.keys(weights));
    const accepted = ["hot1", "hot2", "hot3"].map((hot) =>
      tally(load, hot).beyond
    );
    assert.ok(Math.min(...accepted) > 0);
    assert.ok(Math.max(...accepted) <= 1.25 * Math.min(...accepted));
  });

  it("of which one sends little more than its rate, which is served", () => {
    const load = playLoad(weights, [
      stream("hot1", 40, burst),
      stream("hot2", 4, burst),
      stream("a", 4),
      stream("b", 4),
    ]);
    const { refused, beyond, beyondUseful } = tally(load, "hot2");
    assert.equal(refused, 0);
    assert.equal(beyondUseful, beyond);
    assert.ok(tally(load, "hot1").refused > 0);
  });
});

describe("accounts that are all above their weight", () => {
  it("are all served up to it, and beyond it as far as there is room", () => {
    const weights = { a: 3, b: 3, c: 3, d: 3 };
    const names = Object.keys(weights);
    const load = playLoad(weights, names.map((name) => stream(name, 10)));
    assertAllOnTime(load, names);
    for (const name of names) {
      const { beyond, beyondUseful, refused } = tally(load, name);
      assert.ok(refused > 0 && beyond > 0, name);
      // Capacity for two further ones a second and account is left.
      assert.ok(beyondUseful >= 0.7 * beyond, `${beyondUseful} of ${beyond}`);
    }
  });

  it("lose nothing while there is room for all", () => {
    const weights = { a: 1, b: 1 };
    const load = playLoad(weights, [stream("a", 8), stream("b", 8)]);
    for (const name of ["a", "b"]) {
      const { beyond, beyondUseful, refused } = tally(load, name);
      assert.equal(refused, 0);
      assert.equal(beyondUseful, beyond);
    }
  });
});

describe("a hot account with wide jobs before a small one", () => {
  const weights = { hot: 4, small: 2, a: 6 };

  it("does not delay short jobs of the same urgency", () => {
    const load = playLoad(weights, [
      stream("hot", 3, { step: WIDE }),
      stream("small", 2),
    ]);
    const { owed, onTime } = tally(load, "small");
    assert.ok(onTime >= 0.9 * owed, `${onTime} of ${owed} on time`);
  });

  it("does not delay short jobs by the higher priority of its batch", () => {
    const load = playLoad(weights, [
      stream("hot", 2, { step: WIDE, priority: 1 }),
      stream("small", 2, { priority: 2 }),
      stream("a", 3, { priority: 2 }),
    ]);
    assertAllOnTime(load, ["small", "a"]);
  });

  it("does not let batch of others pass its urgent jobs", () => {
    const load = playLoad(weights, [
      stream("hot", 1, { step: WIDE, priority: 1 }),
      stream("hot", 2),
      stream("a", 1, { step: WIDE, priority: 2 }),
    ]);
    const urgent = load.submissions.filter(({ priority }) => priority === 0);
    const late = urgent.filter(({ id }) => {
      const { job } = load.bench.domain.jobs.get(id)!;
      return job.endedAtMs! - job.acceptedAtMs > 4_500;
    });
    assert.deepEqual(late, []);
  });

  it("has its use forgotten within seconds", () => {
    const load = playLoad(weights, [stream("hot", 1, { step: WIDE })]);
    const { shares } = load.bench.domain.accountUse;
    assert.ok((shares.get("hot") ?? 0) < 0.05);
  });
});

describe("a burst that ends", () => {
  const weights = { hot: 4, a: 4 };
  const burst = stream("hot", 40, { fromMs: 0, toMs: 4_000 });

  it("drains, and nothing is refused any more", () => {
    const load = playLoad(weights, [
      burst,
      stream("a", 4),
      stream("hot", 8, { fromMs: 9_000, toMs: 12_000 }),
    ]);
    assert.ok(tally(load, "hot", 0, 4_000).refused > 0);
    const { refused, beyond, beyondUseful } = tally(load, "hot", 9_000);
    assert.equal(refused, 0);
    assert.equal(beyondUseful, beyond);
    assert.equal(load.bench.domain.waitingSteps.size, 0);
  });

  it("asks callers to return spread over time", () => {
    const load = playLoad(weights, [burst, stream("a", 4)]);
    const { retryAfterMs } = tally(load, "hot");
    const seconds = retryAfterMs.map((ms) => Math.ceil(ms / 1_000));
    const most = Math.max(
      ...[...new Set(seconds)].map((second) =>
        seconds.filter((other) => other === second).length
      ),
    );
    assert.ok(Math.min(...retryAfterMs) >= 1_000);
    assert.ok(Math.max(...retryAfterMs) <= 16_000);
    assert.ok(most <= 0.35 * seconds.length, `${most} of ${seconds.length}`);
  });

  it("is logged when it begins and when it has ended", () => {
    const { bench } = playLoad(weights, [burst, stream("a", 4)]);
    const messages = bench.commands.flatMap((command) =>
      command.kind === "report" && command.fields["account"] === "hot"
        ? [command.message]
        : []
    );
    assert.deepEqual(messages, [
      "A client account exceeds its rate.",
      "A client account keeps within its rate again.",
    ]);
    assert.equal(bench.domain.accountRates.size, 0);
  });
});

describe("an account that sends rarely", () => {
  it("does not wait behind the tasks of a hot one", () => {
    const load = playLoad({ hot: 10, rare: 1 }, [
      stream("hot", 60, { toMs: 8_000 }),
      stream("rare", 0.5),
    ]);
    assertAllOnTime(load, ["rare", "hot"]);
  });
});

describe("a hot account beside steps that wait for the placement policy", () => {
  const weights = { hot: 10, rare: 1 };
  const rare = stream("rare", 0.5, { needsAdvice: true });
  const hot = { needsAdvice: true, toMs: 8_000 };

  function medianMs({ bench }: AccountLoad): number {
    const times = [...bench.domain.jobs.values()].flatMap(({ job }) =>
      job.isBeyondRate === true ? [] : [job.endedAtMs! - job.acceptedAtMs]
    );
    times.sort((left, right) => left - right);
    return times[Math.floor(times.length / 2)]!;
  }

  // Guards against excess that holds tickets and takes each place that becomes
  // free while work within the rates still waits for its own.
  it("does not take their room meanwhile", () => {
    const calm = playLoad(weights, [stream("hot", 5, hot), rare]);
    const full = playLoad(weights, [stream("hot", 60, hot), rare]);
    assert.ok(medianMs(full) <= 1.1 * medianMs(calm), `${medianMs(full)} ms`);
    assert.deepEqual(outcomesOf(full), new Set(["completed"]));
    const { beyond, beyondUseful } = tally(full, "hot");
    assert.ok(beyondUseful >= 0.5 * beyond, `${beyondUseful} of ${beyond}`);
  });

  // Guards against a wide step for whose first task there is room.
  it("leaves them their room with each of its tasks", () => {
    const load = createAccountLoad(2, { hot: 1, other: 1 });
    const twelve = { needsAdvice: true, step: step({ taskCount: 12 }) };
    submitJob(load, "within", stream("hot", 1, { step: step() }));
    submitJob(load, "asks", stream("other", 1, twelve));
    const wide = step({ taskCount: 10 });
    submitJob(load, "beyond", stream("hot", 1, { step: wide }));
    const waiting = () => load.bench.domain.steps.get("beyond.0.0")!;
    assert.equal(waiting().waitingCount, 7);
    tick(load.bench, 1_100);
    assert.equal(waiting().waitingCount, 0);
  });

  it("is not held up by a policy that does not answer", () => {
    const load = createAccountLoad(1, { hot: 1 });
    const needsAdvice = { ...SHORT, taskCount: 8 };
    for (const lane of Array(8).keys()) {
      const changes = { needsAdvice: true, step: needsAdvice };
      submitJob(load, `asks-${lane}`, stream(undefined, 1, changes));
    }
    submitJob(load, "within", stream("hot", 1));
    submitJob(load, "beyond", stream("hot", 1));
    tick(load.bench, 900);
    const isPlaced = () =>
      load.bench.domain.steps.get("beyond.0.0")!.waitingCount === 0;
    reportFrom(load.bench, "w0", {
      ended: [0, 1, 2, 3].map((index) =>
        ended(index + 1, `within.0.0.${index}`, 1, "done")
      ),
    });
    assert.equal(isPlaced(), false);
    tick(load.bench, 200);
    assert.equal(isPlaced(), true);
  });
});

describe("excess beside steps within the rates that cannot start", () => {
  const isPlaced = ({ bench }: AccountLoad, id: string) =>
    bench.domain.steps.get(`${id}.0.0`)?.waitingCount === 0;
  const asking = (account: string, changes: Partial<Step>): Stream =>
    stream(account, 1, {
      needsAdvice: true,
      step: { ...SHORT, taskCount: 4, ...changes },
    });
  /** Uses up the rate of an account. */
  function createHotLoad(): AccountLoad {
    const load = createAccountLoad(2, { hot: 1, other: 1 });
    submitJob(load, "within", stream("hot", 1, { step: step() }));
    return load;
  }

  // Hopeless steps that come all the time kept the excess from free workers.
  it("keeps no room for what no worker can run", () => {
    for (
      const hopeless of [
        { demand: { cpuMillis: 9_000, memoryMb: 1, accelerators: 9 } },
        { requiredLabel: "none" },
      ]
    ) {
      const load = createHotLoad();
      submitJob(load, "hopeless", asking("other", hopeless));
      submitJob(load, "beyond", stream("hot", 1, { step: step() }));
      assert.ok(isPlaced(load, "beyond"), JSON.stringify(hopeless));
    }
  });

  it("does not need what it does not use", () => {
    const load = createHotLoad();
    const demand = { cpuMillis: 10, memoryMb: 1, accelerators: 8 };
    submitJob(load, "asks", asking("other", { demand }));
    submitJob(load, "beyond", stream("hot", 1, { step: step() }));
    assert.ok(isPlaced(load, "beyond"));
  });

  it("keeps no room for what waits for the limit of its account", () => {
    const load = createHotLoad();
    const { clientAccounts } = load.bench.domain;
    const accounts = [...clientAccounts.values()].map((account) => ({
      ...account,
      cap: {
        cpuMillis: account.name === "other" ? 8_000 : 0,
        memoryMb: 0,
        accelerators: 0,
      },
    }));
    feedEvent(load.bench, { kind: "accountsConfigured", accounts });
    submitJob(load, "capped", asking("other", { taskCount: 8 }));
    submitJob(load, "beyond", stream("hot", 1, { step: step() }));
    assert.ok(isPlaced(load, "beyond"));
  });
});

describe("excess of a capped account without room", () => {
  // Its claim would keep other domains from work within the rates.
  it("asks for no more of the cap", () => {
    const load = createAccountLoad(2, { hot: 1 });
    const { bench } = load;
    const asks = { needsAdvice: true, step: { ...SHORT, taskCount: 8 } };
    const cap = { cpuMillis: 8_000, memoryMb: 0, accelerators: 0 };
    const accounts = [...bench.domain.clientAccounts.values()];
    const capped = accounts.map((account) => ({ ...account, cap }));
    feedEvent(bench, { kind: "accountsConfigured", accounts: capped });
    submitJob(load, "within", stream("hot", 1));
    feedEvent(bench, { kind: "cancelled", call: 0, job: "within" });
    submitJob(load, "asks", stream(undefined, 1, asks));
    submitJob(load, "beyond", stream("hot", 1));
    assert.equal(bench.domain.accountWaits.get("hot"), undefined);
    tick(bench, 1_100);
    assert.notEqual(bench.domain.accountWaits.get("hot"), undefined);
  });
});

describe("a takeover in a burst", () => {
  const weights = { hot: 2, a: 4 };

  it("keeps the rank of what was accepted, and refuses none of it", () => {
    const load = createAccountLoad(WORKERS, weights);
    const streams = [stream("hot", 40, { toMs: 6_000 }), stream("a", 8)];
    play(load, streams, 3_000);
    const beyondBefore = tally(load, "hot").beyond;
    const refusedBefore = tally(load, "hot").refused;
    takeOver(load, weights);
    assert.equal(tally(load, "hot").beyond, beyondBefore);
    const accepted = [...load.bench.domain.jobs.keys()];
    for (const id of accepted) submitJob(load, id, stream("hot", 1));
    assert.equal(tally(load, "hot").refused, refusedBefore);
    play(load, streams, ALL_DONE_MS);
    assert.deepEqual(outcomesOf(load), new Set(["completed"]));
    const { owed, useful } = tally(load, "a");
    assert.equal(useful, owed);
  });
});

describe("a new owner to which no worker has reported yet", () => {
  it("refuses nothing, since it does not know what is free", () => {
    const load = createAccountLoad(0, { hot: 1 });
    const workers = ["w1", "w2"].map((id) => listing(id));
    feedEvent(load.bench, { kind: "workersListed", workers });
    const ids = ["j1", "j2", "j3"];
    for (const id of ids) submitJob(load, id, stream("hot", 1));
    assert.deepEqual([...load.bench.domain.jobs.keys()], ids);
  });
});

describe("a refused submission", () => {
  it("leaves nothing behind, and may be accepted when it comes again", () => {
    const load = createAccountLoad(WORKERS, { hot: 2 });
    const hot = stream("hot", 80, { toMs: 3_000 });
    play(load, [hot], 3_000);
    const { domain, store } = load.bench;
    const refused = load.submissions.filter(({ id }) => !domain.jobs.has(id));
    assert.ok(refused.length > 0);
    const [first] = refused;
    submitJob(load, first!.id, hot);
    assert.equal(domain.jobs.has(first!.id), false);
    for (const { id } of refused) {
      const keys = [...store.keys()].filter((key) =>
        key === `job/${id}` || key.startsWith(`step/${id}.`)
      );
      assert.deepEqual(keys, []);
    }
    play(load, [hot], ALL_DONE_MS);
    submitJob(load, first!.id, hot);
    assert.equal(domain.jobs.get(first!.id)?.job.outcome, "open");
  });

  // Guards against REFUSED: an owner that was superseded refuses a job which its
  // successor has accepted.
  it("is refused only after a commit of the owner", () => {
    const load = createAccountLoad(WORKERS, { hot: 2 });
    const hot = stream("hot", 80, { toMs: 3_000 });
    play(load, [hot], 3_000);
    const { bench } = load;
    bench.domain.owners.push({ instance: "10.0.0.1:1", epoch: 3 });
    bench.commitsAtOnce = false;
    submitJob(load, "next", hot);
    assert.equal(bench.domain.jobs.has("next"), false);
    assert.deepEqual([...bench.domain.dirtyKeys], ["owner/3"]);
  });

  it("needs a caller that understands it", () => {
    const load = createAccountLoad(WORKERS, { hot: 2 });
    const hot = stream("hot", 80, { toMs: 3_000, mayRefuse: false });
    play(load, [hot], 3_000);
    assert.equal(tally(load, "hot").refused, 0);
  });
});

describe("a load without client accounts", () => {
  /** Of the commands of the version before client accounts, on this load. */
  const BASELINE =
    "7cb7d10a40c667305528d691a37a14df450d123d49a371d75cd8b3162c42e29f";
  const streams = (account: string | undefined) => [
    stream(account, 25, { fromMs: 2_000, toMs: 6_000 }),
    stream(account, 1, { step: WIDE, priority: 1 }),
    stream(account, 3, { priority: 2 }),
    stream(account, 0.5, {
      step: { ...WIDE, gang: true, taskCount: 4 },
      priority: 1,
    }),
  ];
  const playDigest = (weights: Record<string, number>, account?: string) => {
    const load = createAccountLoad(WORKERS, weights);
    play(load, streams(account), ALL_DONE_MS);
    return digest(JSON.stringify(load.bench.commands));
  };

  it("gets the commands of before", () => {
    assert.equal(playDigest({}), BASELINE);
  });

  it("gets them beside accounts that it does not belong to", () => {
    assert.equal(playDigest({ other: 1 }), BASELINE);
  });

  it("gets them if its account has no rate", () => {
    assert.equal(playDigest({}, "unknown"), BASELINE);
  });
});
