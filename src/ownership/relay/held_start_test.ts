import assert from "node:assert/strict";
import { it } from "node:test";
import { createPendingStarts } from "./pending_starts.ts";

// Guards against LOST: a relay forgets a start that its owner still waits for,
// and never sends it again once the worker answers.
it("a start that is held at a silent worker is sent again by its relay", () => {
  const pendingStarts = createPendingStarts();
  const orderOf = (task: string) => ({
    kind: "start" as const,
    worker: "w",
    task,
    attempt: 1,
    specification: "",
  });
  pendingStarts.recordOrder(orderOf("a.0.0.0"));
  pendingStarts.recordOrder(orderOf("b.0.0.0"));
  const lapse = { kind: "workerLapsed", worker: "w" } as const;
  pendingStarts.recordEvent({ ...lapse, heldStarts: ["a.0.0.0"] });
  assert.equal(pendingStarts.isCurrent(orderOf("a.0.0.0")), true);
  assert.equal(pendingStarts.isCurrent(orderOf("b.0.0.0")), false);
  pendingStarts.recordEvent(lapse);
  assert.equal(pendingStarts.isCurrent(orderOf("a.0.0.0")), false);
});
