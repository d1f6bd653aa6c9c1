import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { Advice, AdviceRequest } from "../hosts/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import { createAdvisor } from "./advisor.ts";

const LANES = ["near-1", "near-2", "far-1", "far-2", "far-3", "far-4"];
/** Round-trip time of each kind of lane, in milliseconds. */
const ROUND_TRIP_MS: Record<string, number> = { near: 2, far: 60 };

const never = new AbortController().signal;

type Sent = {
  instance: string;
  request: AdviceRequest;
  answer(advice: Advice | undefined): void;
};

function createTestSetup() {
  const clock = createManualClock();
  const waiting: AdviceRequest[] = [];
  const sent: Sent[] = [];
  const controller = new AbortController();
  const counters = createCounters();
  const advisor = createAdvisor({
    clock,
    logger: silentLogger,
    counters,
    instances: () => LANES,
    requestAdvice: (instance, request) =>
      new Promise((resolve) => {
        sent.push({ instance, request, answer: resolve });
      }),
    takeAdviceRequest(maxCostMs) {
      const index = waiting.findIndex(({ costMs }) => costMs <= maxCostMs);
      return index < 0 ? undefined : waiting.splice(index, 1)[0];
    },
    onAnswer: () => {},
    signal: controller.signal,
  });
  return { clock, counters, waiting, sent, advisor };
}

function request(stepKey: string, costMs: number): AdviceRequest {
  return { stepKey, workers: ["w1"], costMs };
}

/** Has every lane answer once, so that its overhead is measured. */
async function measureLanes(setup: ReturnType<typeof createTestSetup>) {
  for (const lane of LANES) setup.waiting.push(request(`warm-up-${lane}`, 10));
  setup.advisor.dispatch();
  for (const { instance, answer } of setup.sent.splice(0)) {
    const [place = "far"] = instance.split("-");
    await setup.clock.sleep(ROUND_TRIP_MS[place] ?? 0, never);
    answer({ allowed: [], validMs: 1_000 });
    await Promise.resolve();
    await Promise.resolve();
  }
}

describe("pattern: short advice requests of urgent work among long ones", () => {
  it("reserves the fastest lanes for short requests", async () => {
    const setup = createTestSetup();
    await measureLanes(setup);
    for (let index = 0; index < 8; index += 1) {
      setup.waiting.push(request(`long-${index}`, 600));
    }
    setup.advisor.dispatch();
    assert.deepEqual(
      setup.sent.map(({ instance }) => instance).sort(),
      ["far-1", "far-2", "far-3", "far-4"],
    );
  });

  it("sends a short request through the fastest lane", async () => {
    const setup = createTestSetup();
    await measureLanes(setup);
    setup.waiting.push(request("short", 30));
    setup.advisor.dispatch();
    assert.match(setup.sent[0]!.instance, /^near/);
  });

  it("uses slow lanes for short requests while the fast ones are busy", async () => {
    const setup = createTestSetup();
    await measureLanes(setup);
    for (let index = 0; index < 3; index += 1) {
      setup.waiting.push(request(`short-${index}`, 30));
    }
    setup.advisor.dispatch();
    const instances = setup.sent.map(({ instance }) => instance);
    assert.match(instances[2]!, /^far/);
  });
});

/** Dispatches a request and lets every lane but the given ones answer it. */
async function exchange(
  setup: ReturnType<typeof createTestSetup>,
  next: AdviceRequest,
  silentLanes: string[],
): Promise<{ instance: string; request: AdviceRequest }[]> {
  setup.waiting.push(next);
  setup.advisor.dispatch();
  const sent = setup.sent.splice(0);
  for (const { instance, answer } of sent) {
    const isSilent = silentLanes.includes(instance);
    await setup.clock.sleep(isSilent ? 1_000 : 10, never);
    answer(isSilent ? undefined : { allowed: [], validMs: 1_000 });
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  }
  return sent.map(({ instance, request }) => ({ instance, request }));
}

describe("pattern: instances through which the policy cannot be reached", () => {
  // Guards against steps that never get advice because each of their requests
  // is sent through another instance that has been removed.
  it("serves long requests through the lanes that work", async () => {
    const setup = createTestSetup();
    await measureLanes(setup);
    const silentLanes = ["far-1", "far-2", "far-3"];
    const servedBy: string[] = [];
    for (let index = 0; index < 12; index += 1) {
      const [first] = await exchange(
        setup,
        request(`long-${index}`, 800),
        silentLanes,
      );
      servedBy.push(first!.instance);
      await setup.clock.sleep(1_600, never);
    }
    const failures = servedBy.filter((lane) => silentLanes.includes(lane));
    assert.ok(failures.length <= silentLanes.length, servedBy.join(" "));
    assert.equal(servedBy.at(-1), "far-4");
  });

  it("uses a lane again after it has answered a copy of a request", async () => {
    const setup = createTestSetup();
    await measureLanes(setup);
    await exchange(setup, request("lost", 30), ["near-1", "near-2"]);
    await exchange(setup, request("lost", 30), ["near-1", "near-2"]);
    await setup.clock.sleep(1_600, never);
    const sent = await exchange(setup, request("copied", 30), []);
    assert.deepEqual(
      sent.map(({ request: { stepKey } }) => stepKey),
      ["copied", "copied", "copied"],
    );
    const [next] = await exchange(setup, request("next", 30), []);
    assert.match(next!.instance, /^near/);
  });

  it("measures how long each request took", async () => {
    const setup = createTestSetup();
    await exchange(setup, request("answered", 30), []);
    await exchange(setup, request("lost", 30), LANES);
    const metrics = await setup.counters.render();
    assert.match(metrics, /advice_ms_count 2/);
  });

  it("uses failed lanes while no lane works", async () => {
    const setup = createTestSetup();
    for (const lane of LANES) {
      await exchange(setup, request(`lost-${lane}`, 30), LANES);
    }
    await setup.clock.sleep(1_600, never);
    const sent = await exchange(setup, request("retried", 30), []);
    assert.equal(sent.length, 1);
  });
});

describe("an advisor with a single lane", () => {
  it("sends long requests through it", () => {
    const waiting = [request("long", 900)];
    const sent: string[] = [];
    const advisor = createAdvisor({
      clock: createManualClock(),
      logger: silentLogger,
      counters: createCounters(),
      instances: () => ["only"],
      requestAdvice(instance) {
        sent.push(instance);
        return new Promise(() => {});
      },
      takeAdviceRequest: () => waiting.pop(),
      onAnswer: () => {},
      signal: new AbortController().signal,
    });
    advisor.dispatch();
    assert.deepEqual(sent, ["only"]);
  });
});
