import assert from "node:assert/strict";
import { test } from "node:test";
import type { Instance } from "../model/mod.ts";
import { issueRequestId, readRequestId } from "./request_ids.ts";

const home: Instance = {
  id: "kigali-1",
  incarnation: "x1",
  zone: "kigali",
  region: "rwanda",
  url: "http://127.0.0.1:1",
};

test("request ids: an id names its home and its sequence number", () => {
  const id = issueRequestId("secret", home, 7, "press");
  const parts = readRequestId("secret", id, "press");
  assert.deepEqual(parts, {
    home: { zone: "kigali", instance: "kigali-1", incarnation: "x1" },
    sequence: 7,
  });
});

test("request ids: an id of another customer or zone is not read", () => {
  const id = issueRequestId("secret", home, 7, "press");
  assert.equal(readRequestId("secret", id, "parish"), undefined);
  assert.equal(readRequestId("other", id, "press"), undefined);
  const forged = id.replace("kigali.", "huye.");
  assert.equal(readRequestId("secret", forged, "press"), undefined);
  assert.equal(readRequestId("secret", "", "press"), undefined);
});
