import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import { err, ok } from "neverthrow";
import type { DomainEvent } from "../domain/mod.ts";
import { createManualClock } from "../entry/testing/manual_clock.ts";
import type { PollCall, TaskHost, WorkerTarget } from "../hosts/mod.ts";
import { maxLeaseDurationMs, MIN_CLOCK_RATE } from "./lease_time.ts";
import {
  FIRST_FENCE,
  hostOf,
  LEASE_MS,
  MAX_LEASE_MS,
} from "./testing/link_host.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";
import { openWorkerLink } from "./worker_link.ts";

const MAX_POLLS = 500;
/** When a call to a worker without an answer fails, in milliseconds. */
const POLL_TIMEOUT_MS = 2_000;

describe("the lease of a worker that stops answering", () => {
  // Guards against LOST: what waits for the leases of workers that are gone is
  // started late, as the expiry is noted only once a poll has failed.
  it("is known to have expired while a poll is in flight", async () => {
    const clock = createSimulatedClock();
    const controller = new AbortController();
    const { signal } = controller;
    const lapsedAtMs: number[] = [];
    let polls = 0;
    const tasks = {
      async poll() {
        polls += 1;
        const clockMs = clock.steadyMs();
        if (polls === 1) {
          return ok({ clockMs, bornMs: 1, running: [], ended: [] });
        }
        await clock.sleep(POLL_TIMEOUT_MS, signal);
        const step = "worker.look";
        return err({ kind: "unknown", step, peer: "w", message: "no answer" });
      },
    } as unknown as TaskHost;
    openWorkerLink({
      ...hostOf(tasks, clock, signal),
      emit(event) {
        if (event.kind === "workerLapsed") lapsedAtMs.push(clock.steadyMs());
      },
    });
    await clock.advance(3 * LEASE_MS);
    controller.abort();
    const [firstMs = Infinity, ...others] = lapsedAtMs;
    assert.deepEqual(others, []);
    assert.ok(firstMs > LEASE_MS, `after ${firstMs} ms`);
    assert.ok(firstMs <= maxLeaseDurationMs(LEASE_MS), `after ${firstMs} ms`);
  });

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

// Guards against TWICE: a worker that restarts forgets ends that nobody has read,
// since it gets an acknowledgement that was meant for its former incarnation.
describe("a poll that the next incarnation of the worker may get", () => {
  it("acknowledges no run ends", async () => {
    const clock = createManualClock();
    const controller = new AbortController();
    const acknowledged: number[] = [];
    const end = { task: "a.0.0.0", attempt: 1, end: "done", checkpoint: "" };
    const tasks = {
      async poll(_target: unknown, call: PollCall) {
        acknowledged.push(call.acknowledged);
        await clock.sleep(10, controller.signal);
        if (acknowledged.length === 5) controller.abort();
        if (acknowledged.length === 3) {
          const step = "worker.look";
          return err({ kind: "unknown", step, peer: "w", message: "reset" });
        }
        const ended = [{ ...end, number: 3 }];
        const clockMs = clock.steadyMs();
        return ok({ clockMs, bornMs: 7, running: [], ended });
      },
    } as unknown as TaskHost;
    await new Promise<void>((resolve) => {
      controller.signal.addEventListener("abort", () => resolve());
      const link = openWorkerLink({
        ...hostOf(tasks, clock, controller.signal),
        emit: () => queueMicrotask(() => link.acknowledge(7, 3)),
      });
    });
    assert.deepEqual(acknowledged, [0, 3, 3, 0, 3]);
  });
});

/**
 * Opens a link to a worker that restarts between its third and its fourth answer
 * and stops answering after its last one.
 *
 * @returns the fences of the polls, and when the link gave the worker up after
 * its last answer, in milliseconds
 */
async function followRestart(answers: number) {
  const clock = createManualClock();
  const controller = new AbortController();
  const fences: number[] = [];
  const lastAnswer = { atMs: 0 };
  let lapsedAtMs = Infinity;
  const tasks = {
    async poll({ fence }: WorkerTarget) {
      fences.push(fence);
      await clock.sleep(100, controller.signal);
      if (fences.length > answers) {
        const step = "worker.look";
        return err({ kind: "unknown", step, peer: "w", message: "no answer" });
      }
      lastAnswer.atMs = clock.steadyMs();
      const bornMs = fences.length > 3 ? 2 : 1;
      const clockMs = clock.steadyMs() - 90_000 * bornMs;
      return ok({ clockMs, bornMs, running: [], ended: [] });
    },
  } as unknown as TaskHost;
  await new Promise<void>((resolve) => {
    controller.signal.addEventListener("abort", () => resolve());
    openWorkerLink({
      ...hostOf(tasks, clock, controller.signal),
      emit(event) {
        if (event.kind !== "workerLapsed") return;
        lapsedAtMs = clock.steadyMs();
        controller.abort();
      },
    });
  });
  return { fences, givenUpAfterMs: lapsedAtMs - lastAnswer.atMs };
}

// Guards against TWICE: the next incarnation of a worker takes a lease that was
// meant for the former one, and keeps its runs for longer than the owner expects.
describe("a worker that has restarted", () => {
  it("may hold the longest lease that workers grant", async () => {
    const { givenUpAfterMs } = await followRestart(5);
    assert.ok(givenUpAfterMs >= MAX_LEASE_MS / MIN_CLOCK_RATE);
  });

  it("gets calls with a higher fence than its former incarnation", async () => {
    const { fences } = await followRestart(6);
    const rises = fences.slice(0, 6).map((fence) => fence - FIRST_FENCE);
    assert.deepEqual(rises, [0, 0, 0, 0, 1, 1]);
  });
});

it("a worker that has not restarted is given up with its lease", async () => {
  const { givenUpAfterMs } = await followRestart(3);
  assert.ok(givenUpAfterMs < LEASE_MS * 1.2);
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
