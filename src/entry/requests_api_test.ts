import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import * as v from "valibot";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { manifestSchema } from "../model/mod.ts";
import type { Entry } from "./entry.ts";
import { createRequestsApi } from "./requests_api.ts";
import type { Running } from "./running.ts";

const MANIFEST = v.parse(
  manifestSchema,
  JSON.parse(
    readFileSync(repositoryFile("examples/press/manifest.json"), "utf8"),
  ),
);

/** What the interface uses of an instance that reaches no owner. */
function cutOffInstance(): Running {
  const running = {
    stopping: new AbortController(),
    ending: new AbortController(),
    configuration: { services: () => [] },
    manifest: { current: () => ({ manifest: MANIFEST }) },
  };
  return running as unknown as Running;
}

const CUT_OFF = {
  kind: "unavailable",
  cause: "the domain has no owner",
  retryAfterMs: 500,
};

describe("an instance that reaches no owner", () => {
  it("does not say that a request has not run, as an earlier call may have", async () => {
    const entry = {
      submit: () => Promise.resolve(CUT_OFF),
      describe: () => Promise.resolve(CUT_OFF),
    };
    const api = createRequestsApi(cutOffInstance(), entry as unknown as Entry);
    const submission = {
      agreement: "order-desk",
      work: "proof",
      tasks: [{}],
    };
    const id = "5c0e7a21d94b36f8";
    const answer = await api.submit("order-desk", id, submission, 0);
    assert.ok(answer.kind === "problem");
    assert.equal(answer.status, 503);
    assert.equal(answer.ran, undefined);
    assert.equal(answer.retryAfterMs, 500);
  });
});
