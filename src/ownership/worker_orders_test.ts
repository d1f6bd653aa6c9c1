import assert from "node:assert/strict";
import { setMaxListeners } from "node:events";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import type { DomainEvent, WorkerReport } from "../domain/mod.ts";
import { createManualClock } from "../entry/testing/manual_clock.ts";
import type { PollCall, StartCall, TaskHost } from "../hosts/mod.ts";
import { MIN_CLOCK_RATE } from "./lease_time.ts";
import { hostOf, LEASE_MS, MAX_LEASE_MS } from "./testing/link_host.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";
import { openWorkerLink } from "./worker_link.ts";

// Guards against BUDGET: an order that has crashed its worker is sent again to
// the next incarnation, which crashes in its turn.
describe("a start without an answer, to a worker that restarts", () => {
  it("is not sent again to its new incarnation", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    let starts = 0;
    let polls = 0;
    const unknown = err({
      kind: "unknown",
      step: "worker.start",
      peer: "w",
      message: "reset",
    });
    const tasks = {
      async poll() {
        await clock.sleep(100, controller.signal);
        polls += 1;
        if (polls === 30) controller.abort();
        const bornMs = starts === 0 ? 1 : 2;
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs, running: [], ended: [] });
      },
      start() {
        starts += 1;
        return Promise.resolve(unknown);
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      let isOrdered = false;
      const link = openWorkerLink({
        ...hostOf(tasks, clock, controller.signal),
        emit(event) {
          if (event.kind !== "looked" || isOrdered) return;
          isOrdered = true;
          link.order({
            kind: "start",
            worker: "w",
            task: "a.0.0.0",
            attempt: 1,
            specification: "",
            ticket: undefined,
            checkpoint: undefined,
          });
        },
      });
    });
    assert.equal(starts, 1);
  });
});

// Guards against LOST: jobs that fail for crashes of workers on which none of
// their tasks has been started.
describe("a worker that restarts", () => {
  const cases = [
    { title: "unsent", kind: "unsent", elapsedMs: 5, sent: [], reached: [] },
    {
      title: "without an answer",
      kind: "unknown",
      elapsedMs: 450,
      sent: ["a.0.0.0"],
      reached: [],
    },
    {
      title: "closed by the worker",
      kind: "unknown",
      isClosed: true,
      elapsedMs: 35,
      sent: ["a.0.0.0"],
      reached: ["a.0.0.0"],
    },
    {
      title: "closed before it can have arrived",
      kind: "unknown",
      isClosed: true,
      elapsedMs: 1,
      sent: ["a.0.0.0"],
      reached: [],
    },
    {
      title: "closed by a later incarnation",
      kind: "unknown",
      isClosed: true,
      elapsedMs: 400,
      sent: ["a.0.0.0"],
      reached: [],
    },
    {
      title: "without an answer, right after a poll",
      kind: "unknown",
      isSuspect: true,
      elapsedMs: 450,
      sent: ["a.0.0.0"],
      reached: ["a.0.0.0"],
    },
  ];
  for (const { title, kind, isClosed, isSuspect, ...expected } of cases) {
    it(`is reported with the starts that it may have got: ${title}`, async () => {
      const clock = createManualClock();
      const controller = new AbortController();
      let starts = 0;
      let reports = 0;
      let reported: WorkerReport | undefined;
      const tasks = {
        async poll() {
          await clock.sleep(100, controller.signal);
          const bornMs = starts < 2 ? 1 : 2;
          const clockMs = clock.steadyMs();
          return ok({ clockMs, bornMs, running: [], ended: [] });
        },
        async start(_target: unknown, { task }: StartCall) {
          starts += 1;
          if (task === "answered.0.0.0") {
            await clock.sleep(24, controller.signal);
            return ok({ kind: "accepted" });
          }
          await clock.sleep(expected.elapsedMs, controller.signal);
          const fault = { step: "worker.start", peer: "w", message: "reset" };
          return err({ ...fault, kind, isClosed });
        },
      } as unknown as TaskHost;
      await new Promise<void>((resolve) => {
        controller.signal.addEventListener("abort", () => resolve());
        const link = openWorkerLink({
          ...hostOf(tasks, clock, controller.signal),
          emit(event) {
            if (event.kind !== "looked") return;
            if (event.look.bornMs === 2) {
              reported = event.look;
              return controller.abort();
            }
            const start = { kind: "start", worker: "w", attempt: 1 } as const;
            const task = ["answered.0.0.0", "a.0.0.0"][reports];
            reports += 1;
            if (task === undefined) return;
            link.order({ ...start, task, specification: "", isSuspect });
          },
        });
      });
      assert.deepEqual(reported?.unansweredStarts, expected.sent);
      assert.deepEqual(reported?.reachedStarts, expected.reached);
    });
  }
});

// Guards against LOST: a start that its worker never answers, while it answers
// polls, was repeated without end, so that the task never started elsewhere.
describe("a start that a worker that answers polls does not answer", () => {
  it("is given up, and can no longer be executed some time later", async () => {
    const clock = createSimulatedClock();
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const reported: { kind: DomainEvent["kind"]; atMs: number }[] = [];
    const lastSent = { atMs: 0, leaseUntilMs: 0 };
    const tasks = {
      async poll() {
        await clock.sleep(1_000, controller.signal);
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs: 1, running: [], ended: [] });
      },
      async start(_target: unknown, { leaseUntilMs }: StartCall) {
        lastSent.atMs = clock.steadyMs();
        lastSent.leaseUntilMs = leaseUntilMs;
        return await timeOut();
      },
      stop: timeOut,
    } as unknown as TaskHost;
    async function timeOut() {
      await clock.sleep(450, controller.signal);
      const fault = { step: "worker.order", peer: "w", message: "no answer" };
      return err({ kind: "unknown", ...fault });
    }
    const attempt = { worker: "w", task: "a.0.0.0", attempt: 1 };
    let isStopped = false;
    const link = openWorkerLink({
      ...hostOf(tasks, clock, controller.signal),
      isCurrent: ({ kind }) => (kind === "stop") === isStopped,
      emit(event) {
        if (event.kind === "looked" || event.kind === "workerSilent") return;
        reported.push({ kind: event.kind, atMs: clock.steadyMs() });
        if (event.kind === "startAnswered") {
          isStopped = true;
          link.order({ kind: "stop", ...attempt });
          assert.deepEqual(event.answer, {
            kind: "rejected",
            cause: "unanswered",
            earlierUnknown: true,
          });
        }
      },
    });
    await clock.advance(1_500);
    link.order({ kind: "start", ...attempt, specification: "" });
    await clock.advance(30_000);
    controller.abort();
    assert.deepEqual(reported.map(({ kind }) => kind), [
      "startAnswered",
      "stopConfirmed",
    ]);
    const [givenUp, expired] = reported;
    assert.ok(givenUp!.atMs < 6_000);
    assert.ok(givenUp!.atMs > lastSent.atMs);
    // A worker's clock may be 2 % slow.
    const leaseMs = lastSent.leaseUntilMs - lastSent.atMs;
    assert.ok(expired!.atMs >= lastSent.atMs + leaseMs / 0.98);
    assert.ok(expired!.atMs < 12_000);
  });

  // Guards against LOST: a task that waits for as long as its worker answers
  // polls, but accepts no further connection.
  it("is given up as not executed if no copy of it was sent", async () => {
    const clock = createSimulatedClock();
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const answers: unknown[] = [];
    const tasks = {
      async poll() {
        await clock.sleep(1_000, controller.signal);
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs: 1, running: [], ended: [] });
      },
      start() {
        const fault = { step: "worker.start", peer: "w", message: "refused" };
        return Promise.resolve(err({ kind: "unsent", ...fault }));
      },
    } as unknown as TaskHost;
    const link = openWorkerLink({
      ...hostOf(tasks, clock, controller.signal),
      isCurrent: () => answers.length === 0,
      emit(event) {
        if (event.kind === "startAnswered") answers.push(event.answer);
      },
    });
    await clock.advance(1_500);
    link.order({
      kind: "start",
      worker: "w",
      task: "a.0.0.0",
      attempt: 1,
      specification: "",
      ticket: undefined,
      checkpoint: undefined,
    });
    await clock.advance(6_000);
    controller.abort();
    assert.deepEqual(answers, [
      { kind: "rejected", cause: "unanswered", earlierUnknown: false },
    ]);
  });
});

/** An order to start a task on the worker of the link. */
function startOf(task: string) {
  return {
    kind: "start" as const,
    worker: "w",
    task,
    attempt: 1,
    specification: "",
    ticket: undefined,
    checkpoint: undefined,
  };
}

// Guards against TWICE: a start carries a lease that ends at a time on the clock
// of a former incarnation, to a worker that is known to have restarted.
it("a suspect start gets its lease after its worker has answered", async () => {
  const clock = createSimulatedClock();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const FORMER_CLOCK_MS = 1_000_000;
  let hasRestarted = false;
  const leasesUntilMs: number[] = [];
  const tasks = {
    async poll(_target: unknown, { leaseUntilMs }: PollCall) {
      const isLook = leaseUntilMs === undefined;
      if (isLook && clock.steadyMs() > 300) hasRestarted = true;
      const bornMs = hasRestarted ? 2 : 1;
      await clock.sleep(isLook ? 400 : 100, controller.signal);
      const clockMs = (bornMs === 1 ? FORMER_CLOCK_MS : 0) + clock.steadyMs();
      return ok({ clockMs, bornMs, running: [], ended: [] });
    },
    start(_target: unknown, { leaseUntilMs }: StartCall) {
      leasesUntilMs.push(leaseUntilMs);
      return Promise.resolve(ok({ kind: "accepted" as const }));
    },
  } as unknown as TaskHost;
  const link = openWorkerLink(hostOf(tasks, clock, controller.signal));
  await clock.advance(600);
  link.order({ ...startOf("a.0.0.0"), isSuspect: true });
  await clock.advance(3_000);
  controller.abort();
  assert.equal(leasesUntilMs.length, 1);
  assert.ok(leasesUntilMs[0]! < FORMER_CLOCK_MS);
});

// Guards against TWICE: a worker restarts unnoticed, runs a start that was meant
// for its former incarnation, and is cut off before it has answered a poll.
it("a start that a later incarnation answers may hold the longest lease", async () => {
  const clock = createSimulatedClock();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const start = { atMs: Infinity };
  let lapsedAtMs = Infinity;
  const tasks = {
    async poll() {
      const hasRestarted = clock.steadyMs() >= start.atMs;
      await clock.sleep(hasRestarted ? 600 : 100, controller.signal);
      if (clock.steadyMs() >= start.atMs) {
        const step = "worker.look";
        return err({ kind: "unknown", step, peer: "w", message: "no answer" });
      }
      const clockMs = 1_000_000 + clock.steadyMs();
      return ok({ clockMs, bornMs: 1, running: [], ended: [] });
    },
    start() {
      start.atMs = clock.steadyMs();
      const clockMs = clock.steadyMs();
      return Promise.resolve(ok({ kind: "accepted" as const, clockMs }));
    },
  } as unknown as TaskHost;
  const link = openWorkerLink({
    ...hostOf(tasks, clock, controller.signal),
    emit(event) {
      if (event.kind === "workerLapsed") lapsedAtMs = clock.steadyMs();
    },
  });
  await clock.advance(600);
  link.order(startOf("a.0.0.0"));
  await clock.advance(20_000);
  controller.abort();
  assert.ok(lapsedAtMs < Infinity);
  assert.ok(lapsedAtMs - start.atMs >= MAX_LEASE_MS / MIN_CLOCK_RATE);
});

// Guards against TWICE: a start without an answer runs in an incarnation that is
// cut off before it has been polled, for longer than the owner's leases last.
it("a start without an answer lapses later than the owner's leases", async () => {
  const clock = createSimulatedClock();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  const start = { atMs: Infinity };
  const lapses: { atMs: number; heldStarts: string[] }[] = [];
  const noAnswer = async (step: string, delayMs: number) => {
    await clock.sleep(delayMs, controller.signal);
    return err({ kind: "unknown", step, peer: "w", message: "no answer" });
  };
  const tasks = {
    async poll() {
      if (clock.steadyMs() >= start.atMs) return noAnswer("worker.look", 600);
      await clock.sleep(100, controller.signal);
      const clockMs = clock.steadyMs();
      return ok({ clockMs, bornMs: 1, running: [], ended: [] });
    },
    start() {
      start.atMs = clock.steadyMs();
      return noAnswer("worker.start", 450);
    },
  } as unknown as TaskHost;
  const link = openWorkerLink({
    ...hostOf(tasks, clock, controller.signal),
    emit(event) {
      if (event.kind !== "workerLapsed") return;
      const { heldStarts = [] } = event;
      lapses.push({ atMs: clock.steadyMs() - start.atMs, heldStarts });
    },
  });
  await clock.advance(600);
  link.order(startOf("a.0.0.0"));
  await clock.advance(20_000);
  controller.abort();
  assert.deepEqual(lapses.map(({ heldStarts }) => heldStarts), [
    ["a.0.0.0"],
    [],
  ]);
  assert.ok(lapses[0]!.atMs < LEASE_MS * 1.2 + 600);
  assert.ok(lapses[1]!.atMs >= MAX_LEASE_MS / MIN_CLOCK_RATE);
});

// Guards against TWICE: the same, after another start had no answer, so that the
// fence has risen since the start was sent.
it("a later incarnation is noticed by its answer although the worker is silent", async () => {
  const clock = createSimulatedClock();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  let firstAtMs = Infinity;
  let releasedAtMs = Infinity;
  const noAnswer = async (step: string, delayMs: number) => {
    await clock.sleep(delayMs, controller.signal);
    return err({ kind: "unknown", step, peer: "w", message: "no answer" });
  };
  const tasks = {
    async poll() {
      if (firstAtMs < Infinity) return noAnswer("worker.look", 600);
      await clock.sleep(100, controller.signal);
      const clockMs = 1_000_000 + clock.steadyMs();
      return ok({ clockMs, bornMs: 1, running: [], ended: [] });
    },
    async start(_target: unknown, { task }: StartCall) {
      firstAtMs = Math.min(firstAtMs, clock.steadyMs());
      if (task === "a.0.0.0") return noAnswer("worker.start", 450);
      await clock.sleep(40, controller.signal);
      return ok({ kind: "accepted" as const, clockMs: clock.steadyMs() });
    },
  } as unknown as TaskHost;
  const link = openWorkerLink({
    ...hostOf(tasks, clock, controller.signal),
    emit(event) {
      if (event.kind !== "workerLapsed") return;
      if (event.heldStarts?.includes("b.0.0.0")) return;
      releasedAtMs = Math.min(releasedAtMs, clock.steadyMs());
    },
  });
  await clock.advance(600);
  link.order(startOf("a.0.0.0"));
  await clock.advance(430);
  const secondAtMs = clock.steadyMs();
  link.order(startOf("b.0.0.0"));
  await clock.advance(20_000);
  controller.abort();
  assert.ok(releasedAtMs < Infinity);
  assert.ok(releasedAtMs - secondAtMs >= MAX_LEASE_MS / MIN_CLOCK_RATE);
});
