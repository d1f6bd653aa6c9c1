/**
 * Guards against an owner that accepts hardly any connection while it is busy:
 * the event loop accepts one connection each time it turns, and it handled all
 * requests that had arrived before it turned again.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { createWorkQueue } from "./work_queue.ts";

const ITEMS = 10;
const LONG_WORK_MS = 5;

/** Counts the turns of the event loop until it is stopped. */
function countTurns(): { turns(): number; stop(): void } {
  let turns = 0;
  let isStopped = false;
  const count = () => {
    turns += 1;
    if (!isStopped) setImmediate(count);
  };
  setImmediate(count);
  return {
    turns: () => turns,
    stop: () => {
      isStopped = true;
    },
  };
}

function work(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) { /* Busy wait. */ }
}

it("work queue: the event loop turns between pieces of long work", async () => {
  const queue = createWorkQueue();
  const counter = countTurns();
  const done: number[] = [];
  const turnsAt: number[] = [];
  await Promise.all(Array.from({ length: ITEMS }, async (_, index) => {
    await queue.turn();
    // Work also follows from what a piece awaits.
    for (let hop = 0; hop < 20; hop += 1) await Promise.resolve();
    work(LONG_WORK_MS);
    done.push(index);
    turnsAt.push(counter.turns());
  }));
  counter.stop();
  assert.deepEqual(done, Array.from({ length: ITEMS }, (_, index) => index));
  assert.equal(new Set(turnsAt).size, ITEMS);
});

it("work queue: it takes work again after it was empty", async () => {
  const queue = createWorkQueue();
  await queue.turn();
  await new Promise((resolve) => setImmediate(resolve));
  await Promise.all([queue.turn(), queue.turn()]);
});
