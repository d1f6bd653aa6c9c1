import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { createOperatorRoute } from "../api/mod.ts";
import { createFakeApiHost } from "../api/testing/fake_api_host.ts";
import type { Manifest } from "../model/mod.ts";

const TOKEN = "token-of-the-operator";

/**
 * Publishes a manifest over the operator route.
 *
 * @returns the status, the diagnostic code, and the number of publications that
 * reached the instance
 */
async function publishOverApi(
  manifest: Manifest,
): Promise<{ status: number; code: unknown; publicationCount: number }> {
  const host = createFakeApiHost({
    customers: {},
    operators: { uwimana: TOKEN },
  });
  const response = await createOperatorRoute(host)({
    method: "POST",
    path: ["v1", "operator", "manifest"],
    query: new URLSearchParams(),
    headers: { authorization: `Bearer ${TOKEN}` },
    body: () =>
      Promise.resolve({ changeId: "build-1", baseVersion: 0, manifest }),
  });
  assert.ok(response !== undefined);
  const { status, body } = response;
  const code = (body as { code?: unknown }).code;
  return { status, code, publicationCount: host.changes.length };
}

function pressManifest(): Manifest {
  const path = repositoryFile("examples/press/manifest.json");
  return JSON.parse(readFileSync(path, "utf8"));
}

test("manifest: an instance accepts a consistent manifest", async () => {
  const response = await publishOverApi(pressManifest());
  assert.deepEqual(response, {
    status: 200,
    code: undefined,
    publicationCount: 1,
  });
});

test("manifest: an instance rejects an inconsistent manifest", async () => {
  const manifest = pressManifest();
  const response = await publishOverApi({ ...manifest, customers: [] });
  assert.deepEqual(response, { status: 400, code: 1101, publicationCount: 0 });
});
