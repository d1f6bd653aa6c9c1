import assert from "node:assert/strict";
import { setMaxListeners } from "node:events";
import { describe, it } from "node:test";
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import { err, ok } from "neverthrow";
import type { DomainEvent } from "../domain/mod.ts";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { Clock, PollCall, StartCall, TaskHost } from "../hosts/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";
import { openWorkerLink } from "./worker_link.ts";
import type { WorkerLinkHost } from "./worker_link_state.ts";

const LEASE_MS = 5_000;
const MAX_POLLS = 500;

/** Dependencies of a link, apart from the calls to its worker. */
function hostOf(
  tasks: TaskHost,
  clock: Clock,
  signal: AbortSignal,
): WorkerLinkHost {
  return {
    tasks,
    clock,
    logger: silentLogger,
    counters: createCounters(),
    target: { id: "w", address: "10.0.0.1:1", epoch: 1 },
    leaseMs: LEASE_MS,
    earlierLeasesExpireAtMs: () => 0,
    unacknowledgedPollDelayMs: 80,
    mayGrantLeases: () => true,
    leaseLimitMs: () => Infinity,
    resumeFrom: { bornMs: 0, acknowledged: 0 },
    ownerClockMs: clock.steadyMs,
    emit() {},
    isCurrent: () => true,
    onFenced() {},
    signal,
  };
}

describe("the lease of a worker that stops answering", () => {
  it("expires although the owner continues to poll", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    const events: DomainEvent["kind"][] = [];
    let polls = 0;
    const tasks = {
      async poll() {
        polls += 1;
        if (polls > MAX_POLLS) controller.abort();
        await clock.sleep(100, controller.signal);
        if (polls > 5) {
          return err({
            kind: "unknown",
            step: "worker.look",
            peer: "w",
            message: "no answer",
          });
        }
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs: 1, running: [], ended: [] });
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      openWorkerLink({
        ...hostOf(tasks, clock, controller.signal),
        emit(event) {
          events.push(event.kind);
          if (event.kind === "workerLapsed") controller.abort();
        },
      });
    });
    assert.equal(events.at(-1), "workerLapsed");
    assert.ok(clock.steadyMs() < 500 + LEASE_MS * 1.2);
  });
});

describe("a slow store, run ends that are not stored yet", () => {
  it("does not delay the notice of further ends until they are", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    const pollsAtMs: number[] = [];
    const tasks = {
      poll() {
        pollsAtMs.push(clock.steadyMs());
        if (pollsAtMs.length === 6) controller.abort();
        const ends = [{
          number: 1,
          task: "a.0.0.0",
          attempt: 1,
          end: "done",
          checkpoint: "",
        }];
        const clockMs = clock.steadyMs();
        const answer = { clockMs, bornMs: 1, running: [], ended: ends };
        return Promise.resolve(ok(answer));
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      openWorkerLink(hostOf(tasks, clock, controller.signal));
    });
    assert.deepEqual(pollsAtMs, [0, 80, 240, 560, 1_200, 2_200]);
  });
});

describe("the first poll of a link", () => {
  it("acknowledges no run ends, even if an earlier link has", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    const acknowledged: number[] = [];
    const tasks = {
      async poll(_target: unknown, call: PollCall) {
        acknowledged.push(call.acknowledged);
        await clock.sleep(10, controller.signal);
        if (acknowledged.length === 2) controller.abort();
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs: 7, running: [], ended: [] });
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      openWorkerLink({
        ...hostOf(tasks, clock, controller.signal),
        resumeFrom: { bornMs: 7, acknowledged: 57 },
      });
    });
    assert.deepEqual(acknowledged, [0, 57]);
  });
});

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
  const fates = [
    ["unsent", "unsent", []],
    ["without an answer", "unknown", ["a.0.0.0"]],
  ] as const;
  for (const [title, kind, unansweredStarts] of fates) {
    it(`is reported with the starts that it may have got: ${title}`, async () => {
      const clock = createManualClock();
      const controller = new AbortController();
      let starts = 0;
      let reported: string[] | undefined;
      const tasks = {
        async poll() {
          await clock.sleep(100, controller.signal);
          const bornMs = starts === 0 ? 1 : 2;
          const clockMs = clock.steadyMs();
          return ok({ clockMs, bornMs, running: [], ended: [] });
        },
        start() {
          starts += 1;
          const fault = { step: "worker.start", peer: "w", message: "reset" };
          return Promise.resolve(err({ ...fault, kind }));
        },
      } as unknown as TaskHost;
      await new Promise<void>((resolve) => {
        controller.signal.addEventListener("abort", () => resolve());
        const link = openWorkerLink({
          ...hostOf(tasks, clock, controller.signal),
          emit(event) {
            if (event.kind !== "looked") return;
            if (event.look.bornMs === 2) {
              reported = event.look.unansweredStarts;
              return controller.abort();
            }
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
      assert.deepEqual(reported, unansweredStarts);
    });
  }
});

// Guards against SHORT: the relays of an owner that was lost polled each worker
// of its successor every 150 ms, for the 6 s until they gave the owner up.
describe("a worker that has accepted an owner with a higher epoch", () => {
  it("is not polled any more for the earlier one", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    let polls = 0;
    const causes: string[] = [];
    const tasks = {
      async poll() {
        polls += 1;
        if (polls > MAX_POLLS) controller.abort();
        await clock.sleep(1, controller.signal);
        return err({
          kind: "fenced",
          step: "worker.look",
          peer: "w",
          message: "epoch 2",
        });
      },
    } as unknown as TaskHost;
    openWorkerLink({
      ...hostOf(tasks, clock, controller.signal),
      onFenced: (cause) => causes.push(cause),
    });
    await nextEventLoopTurn();
    controller.abort();
    assert.equal(polls, 1);
    assert.deepEqual(causes, ["epoch 2"]);
  });
});

describe("a worker that is replaced after its lease has expired", () => {
  it("is reported as replaced", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    const reported: (boolean | undefined)[] = [];
    const tasks = {
      async poll() {
        await clock.sleep(100, controller.signal);
        const kind = reported.length === 0 ? "unknown" : "gone";
        return err({ kind, step: "worker.look", peer: "w", message: kind });
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      openWorkerLink({
        ...hostOf(tasks, clock, controller.signal),
        emit(event) {
          if (event.kind !== "workerLapsed") return;
          reported.push(event.isReplaced);
          if (reported.length === 2) controller.abort();
        },
      });
    });
    assert.deepEqual(reported, [false, true]);
  });
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
