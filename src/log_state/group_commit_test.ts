import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import type { Clock, Fault, FaultKind, LogHost } from "../hosts/mod.ts";
import { createGroupCommit, MIN_APPEND_GAP_MS } from "./group_commit.ts";
import { claimOf, createLogState, foldPage, type LogRecord } from "./mod.ts";

const LATENCY_MS = 10;

/** Sleeping moves this clock on at once. */
function createClockFake() {
  let timeMs = 0;
  return {
    nowMs: () => timeMs,
    steadyMs: () => timeMs,
    sleep(delayMs: number) {
      timeMs += delayMs;
      return Promise.resolve();
    },
  } satisfies Clock;
}

type Answer = "ok" | FaultKind | "lostAfterEffect";

function createLogHostFake(clock: Clock, answers: Answer[] = []) {
  const entries: LogRecord[] = [];
  const calls: { atMs: number; count: number }[] = [];
  let inFlight = 0;
  let mostInFlight = 0;
  async function append(data: unknown[]): Promise<Result<number, Fault>> {
    calls.push({ atMs: clock.steadyMs(), count: data.length });
    inFlight += 1;
    mostInFlight = Math.max(mostInFlight, inFlight);
    await clock.sleep(LATENCY_MS, AbortSignal.abort());
    inFlight -= 1;
    const answer = answers.shift() ?? "ok";
    const first = entries.length;
    const tookEffect = answer === "ok" || answer === "lostAfterEffect";
    if (tookEffect) entries.push(...data as LogRecord[]);
    if (answer === "ok") return ok(first);
    return err({
      kind: answer === "lostAfterEffect" ? "unknown" : answer,
      code: 2005,
      step: "log.append",
      peer: "log",
      message: "refused",
    });
  }
  const log: LogHost = {
    append,
    read: () => Promise.reject(new Error("not used")),
  };
  return { log, entries, calls, mostInFlight: () => mostInFlight };
}

function claim(key: string): LogRecord {
  return { kind: "claim", customer: "a", key, digest: "d", requestId: key };
}

function setUp(answers: Answer[] = []) {
  const clock = createClockFake();
  const fake = createLogHostFake(clock, answers);
  const { signal, abort } = createAbort();
  const commit = createGroupCommit({ log: fake.log, clock, signal });
  return { clock, fake, commit, abort };
}

function createAbort() {
  const controller = new AbortController();
  return { signal: controller.signal, abort: () => controller.abort() };
}

const forever = new AbortController().signal;

test("commit: an idle commit appends a single record at once", async () => {
  const { fake, commit } = setUp();
  const result = await commit.append(claim("a"), forever);
  assert.equal(result._unsafeUnwrap(), 0);
  assert.deepEqual(fake.calls, [{ atMs: 0, count: 1 }]);
});

test("commit: a busy one sends one call at a time, a gap apart", async () => {
  const { fake, commit } = setUp();
  const results = [];
  for (let index = 0; index < 600; index += 1) {
    results.push(commit.append(claim(`k${index}`), forever));
  }
  const offsets = await Promise.all(results);
  assert.deepEqual(
    offsets.map((result) => result._unsafeUnwrap()),
    fake.entries.map((_, index) => index),
  );
  assert.equal(fake.mostInFlight(), 1);
  assert.deepEqual(fake.calls.map(({ count }) => count), [256, 256, 88]);
  fake.calls.slice(1).forEach(({ atMs }, index) => {
    const gapMs = atMs - (fake.calls[index]?.atMs ?? 0);
    assert.ok(gapMs >= MIN_APPEND_GAP_MS);
  });
});

test("commit: a lost answer is resolved by a repeat, which is harmless", async () => {
  const { fake, commit } = setUp(["lostAfterEffect", "unknown"]);
  const result = await commit.append(claim("a"), forever);
  assert.equal(result._unsafeUnwrap(), 1);
  const state = createLogState();
  foldPage(state, {
    entries: fake.entries.map((data, offset) => ({ offset, atMs: 0, data })),
    firstOffset: 0,
    nextOffset: fake.entries.length,
  });
  assert.equal(state.claims.size, 1);
  assert.equal(claimOf(state, "a", "a")?.requestId, "a");
});

test("commit: a record that the log refuses does not hold up the others", async () => {
  const refusals: Answer[] = ["refused", "refused"];
  const { commit } = setUp(refusals);
  const bad = commit.append(claim("bad"), forever);
  const good = commit.append(claim("good"), forever);
  const other = commit.append(claim("other"), forever);
  assert.equal((await bad)._unsafeUnwrapErr().kind, "refused");
  assert.equal((await good).isOk(), true);
  assert.equal((await other).isOk(), true);
});

test("commit: failing appends are repeated at growing intervals", async () => {
  const answers = Array.from({ length: 8 }, (): Answer => "unknown");
  const { fake, commit } = setUp(answers);
  await commit.append(claim("a"), forever);
  const gaps = fake.calls.slice(1).map(({ atMs }, index) =>
    atMs - (fake.calls[index]?.atMs ?? 0)
  );
  assert.deepEqual(gaps, [250, 500, 1000, 2000, 4000, 4000, 4000, 4000]);
});

test("commit: giving up tells whether the record may be in the log", async () => {
  const { fake, commit } = setUp();
  const early = createAbort();
  early.abort();
  const unsent = await commit.append(claim("a"), early.signal);
  assert.equal(unsent._unsafeUnwrapErr().kind, "unsent");
  assert.equal(fake.calls.length, 0);
  const late = createAbort();
  const sent = commit.append(claim("b"), late.signal);
  await Promise.resolve();
  await Promise.resolve();
  late.abort();
  assert.equal((await sent)._unsafeUnwrapErr().kind, "unknown");
});

test("commit: a refused record that may be in the log stays unknown", async () => {
  const { commit } = setUp(["lostAfterEffect", "refused"]);
  const result = await commit.append(claim("a"), forever);
  assert.equal(result._unsafeUnwrapErr().kind, "unknown");
});

test("commit: the end of the process settles every waiter", async () => {
  const { commit, abort } = setUp();
  const waiting = commit.append(claim("a"), forever);
  abort();
  assert.equal((await waiting).isErr(), true);
  assert.equal(commit.waiting(), 0);
  const after = await commit.append(claim("b"), forever);
  assert.equal(after._unsafeUnwrapErr().kind, "unsent");
});
