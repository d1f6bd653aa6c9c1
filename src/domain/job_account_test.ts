import assert from "node:assert/strict";
import { it } from "node:test";
import { applyDomainEvent } from "./apply_domain_event.ts";
import { createBench, policy, step } from "./testing/domain_bench.ts";

const MOMENT = { steadyMs: 0, wallMs: 1_780_000_000_000 };

// Guards against a client that is told that its job was accepted, though another
// account's job with the same id runs instead.
it("a job with the id of another account's job is not accepted", () => {
  const { domain } = createBench();
  const request = { id: "a", specification: "", steps: [step()] };
  const answerTo = (clientAccount: string | undefined, queue = "proofs") => {
    const jobPolicy = clientAccount === undefined
      ? policy({ queue })
      : policy({ queue, clientAccount });
    const commands = applyDomainEvent(
      domain,
      { kind: "submitted", call: 1, request, policy: jobPolicy },
      MOMENT,
    );
    const answer = commands.find(({ kind }) => kind === "answer");
    return answer?.kind === "answer" ? answer.answer.kind : undefined;
  };
  assert.equal(answerTo("press"), "accepted");
  assert.equal(answerTo("press"), "accepted");
  assert.equal(answerTo("desk"), "conflict");
  // Its queue may be public by now; such calls do not tell their account.
  assert.equal(answerTo(undefined), "accepted");
  assert.equal(answerTo(undefined, "open"), "conflict");
  assert.equal(domain.jobs.get("a")?.job.policy.clientAccount, "press");
});
