import assert from "node:assert/strict";
import { it } from "node:test";
import { isAddress } from "./address.ts";

it("an address has a host and a port that exists", () => {
  for (const text of ["10.1.0.30:1", "edge-1.example:65535", "[::1]:80"]) {
    assert.equal(isAddress(text), true, text);
  }
  const invalid = [
    "",
    "10.1.0.30",
    "10.1.0.30:",
    "10.1.0.30:0",
    "10.1.0.30:65536",
    "10.1.0.30:1e3",
    "10.1.0.30:80/path",
    "user@10.1.0.30:80",
    ":80",
    "a b:80",
  ];
  for (const text of invalid) assert.equal(isAddress(text), false, text);
});
