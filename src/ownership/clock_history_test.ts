import assert from "node:assert/strict";
import { it } from "node:test";
import { createClockHistory } from "./clock_history.ts";

function createClocks() {
  const readings = { steadyMs: 5_000, wallMs: 70_000 };
  const history = createClockHistory({
    steadyMs: () => readings.steadyMs,
    nowMs: () => readings.wallMs,
    sleep: () => Promise.resolve(),
  });
  const advance = (steadyMs: number, wallMs: number) => {
    readings.steadyMs += steadyMs;
    readings.wallMs += wallMs;
  };
  return { history, advance, since: { ...readings } };
}

// Guards against confirmations that seem to be recent after a suspension.
it("a suspension counts, also if the wall clock is set back after it", () => {
  const { history, advance, since } = createClocks();
  advance(100, 100);
  advance(0, 6_000);
  assert.equal(history.elapsedMs(since), 6_100);
  advance(50, -5_950);
  assert.equal(history.elapsedMs(since), Infinity);
});

it("a step back that may hide a suspension leaves the time unknown", () => {
  const { history, advance, since } = createClocks();
  advance(10, -3_000);
  assert.equal(history.elapsedMs(since), Infinity);
  const later = { steadyMs: 5_010, wallMs: 67_010 };
  advance(20, 20);
  assert.equal(history.elapsedMs(later), 20);
});

it("small differences between the clocks are not taken for steps", () => {
  const { history, advance, since } = createClocks();
  for (let second = 0; second < 10; second++) advance(1_000, 999);
  assert.equal(history.elapsedMs(since), 10_000);
});

// Guards against a history that grows with the uptime of a process.
it("instants before the remembered steps have an unknown distance", () => {
  const { history, advance, since } = createClocks();
  for (let step = 0; step < 100; step++) {
    advance(10, 1_000);
    history.observe();
  }
  assert.equal(history.elapsedMs(since), Infinity);
});
