import assert from "node:assert/strict";
import { it } from "node:test";
import { memoize } from "./mod.ts";

// Guards against SHORT: each change of the list of workers hashed the service of
// each worker once for each domain, also at a new owner that was behind.
it("the partition of a service is computed once for all its workers", () => {
  const computed: string[] = [];
  const lookUp = memoize((service) => {
    computed.push(service);
    return service.length;
  });
  for (let worker = 0; worker < 350; worker += 1) {
    assert.equal(lookUp("ledger"), 6);
    assert.equal(lookUp("desk"), 4);
  }
  assert.deepEqual(computed, ["ledger", "desk"]);
});
