import assert from "node:assert/strict";
import { test } from "node:test";
import type { Flow } from "./flow.ts";
import { complete, createRunner, drain, notify, spawn } from "./runner.ts";
import { gather, sleep, waitForNotice } from "./waits.ts";

test("runner: a notice resumes a flow, and its late time-out is ignored", () => {
  const runner = createRunner();
  const seen: boolean[] = [];
  spawn(runner, waitOnce(seen));
  const [perform] = drain(runner);
  assert.equal(perform?.kind, "perform");
  notify(runner, "topic");
  assert.deepEqual(drain(runner), [{ kind: "abandon", number: 1 }]);
  complete(runner, 1, undefined);
  drain(runner);
  assert.deepEqual(seen, [true]);
});

test("runner: gather waits for every flow and keeps their order", () => {
  const runner = createRunner();
  const seen: number[][] = [];
  spawn(runner, gatherTwo());
  const numbers = drain(runner).flatMap((command) =>
    command.kind === "perform" && command.effect.kind === "sleep"
      ? [command.number]
      : []
  );
  assert.equal(numbers.length, 2);
  for (const number of numbers.reverse()) {
    complete(runner, number, undefined);
    drain(runner);
  }
  assert.deepEqual(seen, [[1, 2]]);

  function* gatherTwo(): Flow<void> {
    seen.push(yield* gather(runner, [delayed(1), delayed(2)]));
  }
});

function* waitOnce(seen: boolean[]): Flow<void> {
  seen.push(yield* waitForNotice("topic", 1_000));
}

function* delayed(value: number): Flow<number> {
  yield* sleep(10);
  return value;
}
