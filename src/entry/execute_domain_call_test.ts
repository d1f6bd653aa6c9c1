import assert from "node:assert/strict";
import { it } from "node:test";
import { policy, step } from "../domain/testing/domain_bench.ts";
import type { DomainOwner, OwnedDomains } from "../ownership/mod.ts";
import { executeDomainCall } from "./execute_domain_call.ts";

const REQUEST = { id: "a", specification: "text", steps: [step()] };

function createOwner(
  jobs: string[],
  cancelled: string[] = [],
): { owner: DomainOwner; submitted: string[] } {
  const submitted: string[] = [];
  const owner = {
    recordQueue: () => Promise.resolve(undefined),
    hasJob: (id: string) => jobs.includes(id),
    hasCancelled: (id: string) => cancelled.includes(id),
    submit: ({ id }: { id: string }) => {
      submitted.push(id);
      return Promise.resolve({ kind: "accepted" });
    },
  };
  return { owner: owner as unknown as DomainOwner, submitted };
}

// Guards against a job that runs twice: its queue moved to another service, and
// the instance that got the repeated submission has started since, so that it
// does not know the service before.
it("a submission is not accepted by a second domain of an instance", async () => {
  const former = createOwner(["a"]);
  const present = createOwner([]);
  const ownedDomains = {
    ownerOf: () => Promise.resolve(present.owner),
    loadedOwners: () => [present.owner, former.owner],
  } as unknown as OwnedDomains;
  const call = { partition: 1, request: REQUEST, policy: policy() };
  const answer = await executeDomainCall(ownedDomains, {
    kind: "submit",
    ...call,
  });
  assert.deepEqual(answer, { kind: "accepted" });
  assert.deepEqual(former.submitted, ["a"]);
  assert.deepEqual(present.submitted, []);
});

// Guards against UNASKED: a queue moved to another service between a cancellation
// and the submission that it was meant for, which was held up on its way.
it("a submission cancelled at another domain of an instance ends there", async () => {
  const former = createOwner([], ["a"]);
  const present = createOwner([]);
  const ownedDomains = {
    ownerOf: () => Promise.resolve(present.owner),
    loadedOwners: () => [present.owner, former.owner],
  } as unknown as OwnedDomains;
  const call = { partition: 1, request: REQUEST, policy: policy() };
  await executeDomainCall(ownedDomains, { kind: "submit", ...call });
  assert.deepEqual(former.submitted, ["a"]);
  assert.deepEqual(present.submitted, []);
});
