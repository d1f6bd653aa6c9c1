import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../entry/testing/manual_clock.ts";
import { createQueueSharers } from "./queue_sharers.ts";

const PROOFS = { queue: "proofs", address: "desk.example/proofs/" };
const FORMER = { queue: "former", address: PROOFS.address };

function createTestSetup() {
  const clock = createManualClock();
  const { signal } = new AbortController();
  const sharers = createQueueSharers(3, clock);
  const partitions = () => sharers.of(PROOFS).map(({ partition }) => partition);
  const sleep = (ms: number) => clock.sleep(ms, signal);
  return { sharers, clock, partitions, sleep };
}

describe("the domains that share a queue", () => {
  it("are those with its name or its address", () => {
    const { sharers, partitions } = createTestSetup();
    sharers.replace([
      { partition: 1, epoch: 1, queues: [{ queue: "proofs" }] },
      { partition: 2, epoch: 1, queues: [{ queue: "ads" }, FORMER] },
      { partition: 3, epoch: 1, queues: [PROOFS] },
      { partition: 4, epoch: 1, queues: [{ queue: "ads" }] },
    ], 0);
    assert.deepEqual(partitions(), [1, 2]);
  });

  // Guards against TWICE: a domain that has said that it uses a queue is forgotten,
  // since the records were read before it wrote its own.
  it("keep those that were added since the records were read", async () => {
    const { sharers, clock, partitions, sleep } = createTestSetup();
    const readAtMs = clock.steadyMs();
    await sleep(10);
    sharers.add({ partition: 1, epoch: 1, queues: [PROOFS] });
    sharers.add({ partition: 1, epoch: 1, queues: [PROOFS] });
    sharers.replace([], readAtMs);
    assert.deepEqual(partitions(), [1]);
    await sleep(10);
    sharers.replace([], clock.steadyMs());
    assert.deepEqual(partitions(), []);
  });

  it("are not replaced by records that were read earlier", () => {
    const { sharers, partitions } = createTestSetup();
    const record = { partition: 1, epoch: 1, queues: [PROOFS] };
    sharers.replace([record], 20);
    sharers.replace([], 10);
    assert.deepEqual(partitions(), [1]);
  });
});
