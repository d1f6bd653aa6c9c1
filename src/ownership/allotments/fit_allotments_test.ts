import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isStorable } from "../../hosts/mod.ts";
import { type Allotment, createAllotmentRecord } from "./allotment_records.ts";
import { type AllotmentUse, fitAllotments } from "./fit_allotments.ts";

const LARGEST = {
  cpuMillis: Number.MAX_SAFE_INTEGER - 0.5,
  memoryMb: -1.2345678901234567e-7,
  accelerators: Number.MAX_SAFE_INTEGER,
};
const ALLOTMENT: Allotment = {
  held: LARGEST,
  request: {
    order: Number.MAX_SAFE_INTEGER,
    claimed: LARGEST,
    spare: LARGEST,
    isServed: false,
  },
};

function plan(count: number, nameOf = (index: number) => `account-${index}`) {
  return new Map(
    Array.from({ length: count }, (_, index) => [nameOf(index), ALLOTMENT]),
  );
}

function assertStorable(accounts: Map<string, Allotment>): void {
  const record = createAllotmentRecord(11, { epoch: 1e9, accounts });
  assert.ok(isStorable(record), `${record.value?.length} characters`);
}

// Guards against a domain whose allotments are not stored any more, so that all
// its client accounts wait (issue 57, step 2).
describe("the allotments of a domain", () => {
  it("are all kept while they have room", () => {
    const planned = plan(400);
    assert.equal(fitAllotments(planned, () => "absent"), planned);
    assertStorable(planned);
  });

  it("fit into a record, however many accounts there are", () => {
    const fitting = fitAllotments(plan(20_000), () => "unused");
    assertStorable(fitting);
    assert.ok(fitting.size > 400);
  });

  it("fit into a record with names that take more bytes than characters", () => {
    const control = String.fromCharCode(1);
    const planned = plan(400, (index) => control.repeat(200) + index);
    assertStorable(fitAllotments(planned, () => "unused"));
  });

  it("are those that tasks or waiting work depend on before others", () => {
    const uses = new Map<string, AllotmentUse>([
      ["account-19999", "running"],
      ["account-19998", "waiting"],
      ["account-19997", "unused"],
    ]);
    const useOf = (account: string) => uses.get(account) ?? "absent";
    const fitting = fitAllotments(plan(20_000), useOf);
    for (const account of uses.keys()) assert.ok(fitting.has(account), account);
    assert.ok(fitting.has("account-0"));
    assert.ok(!fitting.has("account-19996"));
  });
});
