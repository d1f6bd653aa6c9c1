import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  chooseRelay,
  createTieBreaker,
  withoutEarlierOwners,
} from "./relay_choice.ts";

const PEERS = [
  { address: "small", zone: "a", cores: 0.324 },
  { address: "large", zone: "a", cores: 1.35 },
  { address: "larger", zone: "a", cores: 1.5 },
  { address: "tiny", zone: "b", cores: 0.1 },
];

function choose(zone: string, links: Record<string, number>) {
  return chooseRelay(
    PEERS,
    zone,
    (address) => links[address] ?? 0,
    createTieBreaker(1),
  )?.address;
}

describe("the relay of a worker", () => {
  it("is the largest instance of its zone below the preferred link count", () => {
    assert.equal(choose("a", {}), "larger");
    assert.equal(choose("a", { larger: 128 }), "large");
  });

  it("is the one with the fewest links per core once none is below it", () => {
    assert.equal(
      choose("a", { larger: 300, large: 300, small: 130 }),
      "larger",
    );
    assert.equal(choose("a", { larger: 900, large: 600, small: 130 }), "small");
  });

  it("differs between domains when instances are equal", () => {
    const equals = ["p", "q", "r", "s"].map((address) => ({
      address,
      zone: "a",
      cores: 1,
    }));
    const domains = Array.from({ length: 12 }, (_, number) => number);
    const chosen = domains.map((number) =>
      chooseRelay(equals, "a", () => 0, createTieBreaker(number))?.address
    );
    assert.ok(new Set(chosen).size > 1);
  });

  // Guards against SHORT: a new owner hashed the instances of a zone anew for
  // each worker, several times for each comparison.
  it("takes one hash of each instance for all workers", () => {
    const hashed: string[] = [];
    const tieBreakerOf = createTieBreaker(1, (text) => {
      hashed.push(text);
      return hashed.length;
    });
    const equals = ["p", "q", "r", "s"].map((address) => ({
      address,
      zone: "a",
      cores: 1,
    }));
    for (let worker = 0; worker < 350; worker += 1) {
      chooseRelay(equals, "a", () => 0, tieBreakerOf);
    }
    assert.equal(hashed.length, equals.length);
  });

  // Guards against SHORT: the owner that was lost is the largest instance of its
  // zone, so that its successor gave it links, and waited a second for them.
  it("is not an earlier owner that has not confirmed its end", () => {
    const peers = withoutEarlierOwners(PEERS, [{ instance: "larger" }]);
    assert.equal(
      chooseRelay(peers, "a", () => 0, createTieBreaker(1))?.address,
      "large",
    );
  });

  it("is undefined when the zone has no instance with enough cores", () => {
    assert.equal(choose("b", {}), undefined);
    assert.equal(choose("c", {}), undefined);
  });
});
