import { readFileSync } from "node:fs";
import { test } from "node:test";
import type { FakeResponse } from "./testing/fake_instance.ts";
import { repositoryFile } from "./testing/golden_file.ts";
import { fakeProblemResponse } from "./testing/fake_problem_response.ts";
import { assertSessionTranscript } from "./testing/session.ts";
import { fakeStatusResponse } from "./testing/fake_status_response.ts";

const PRESS = "examples/press/manifest.json";
const COOPERATIVE = "examples/cooperative/manifest.json";

function readManifest(path: string): unknown {
  return JSON.parse(readFileSync(repositoryFile(path), "utf8"));
}

function statusWithVersion(version: number): FakeResponse {
  return fakeStatusResponse({ ready: version >= 0, version });
}

function manifestInForceResponse(version: number, path: string): FakeResponse {
  return {
    call: "GET /v1/operator/manifest",
    status: 200,
    body: {
      version,
      manifest: readManifest(path),
      author: "uwimana",
      changeId: "build-812",
      atMs: 1796265660000,
    },
  };
}

function publishResponse(version: number): FakeResponse {
  const call = "POST /v1/operator/manifest";
  return { call, status: 200, body: { version } };
}

const INVALID_MANIFEST = JSON.stringify({
  customers: [{ name: "order-desk" }, { name: "order-desk" }],
  agreements: [{
    name: "proofs",
    customer: "ordr-desk",
    share: { cpuMillis: 32, memoryMb: 131072, accelerators: 0 },
    work: [{
      name: "proof",
      policy: { kind: "batch" },
      urgency: 8,
      idempotent: true,
      demand: { cpuMillis: 1000, memoryMb: 512, accelerators: 0 },
      durationMs: 400,
    }],
  }],
});

test("session: manifests are checked and compared", () =>
  assertSessionTranscript({
    name: "manifest_check",
    responses: [manifestInForceResponse(41, COOPERATIVE)],
    input: INVALID_MANIFEST,
    lines: [
      `manifest check ${PRESS}`,
      `manifest check ${PRESS} --json`,
      "manifest check -",
      "manifest check - --json",
      `manifest diff ${PRESS} --before ${PRESS}`,
      `manifest diff ${PRESS} --before ${COOPERATIVE}`,
      `manifest diff ${COOPERATIVE}`,
    ],
  }));

test("session: prints the JSON Schema of manifests", () =>
  assertSessionTranscript({
    name: "manifest_schema",
    responses: [],
    lines: ["manifest schema"],
  }));

test("session: manifests are published", () =>
  assertSessionTranscript({
    name: "manifest_publish",
    responses: [
      statusWithVersion(-1),
      statusWithVersion(41),
      manifestInForceResponse(41, PRESS),
      publishResponse(41),
      publishResponse(44),
    ],
    lines: [
      `manifest publish ${PRESS}`,
      `manifest publish ${PRESS}`,
      `manifest publish ${COOPERATIVE} --author derwent`,
      `manifest publish ${COOPERATIVE} --base 41 --change-id build-900 --json`,
    ],
  }));

test("session: a publication conflicts with another, or its response is lost", () =>
  assertSessionTranscript({
    name: "manifest_race",
    responses: [
      fakeProblemResponse(
        "POST /v1/operator/manifest",
        409,
        1103,
        "Change 97d4a90fc114ed8a was built on version 40, but version 41 is in force.",
        false,
      ),
      { call: "POST /v1/operator/manifest", status: 0 },
      fakeProblemResponse(
        "POST /v1/operator/manifest",
        504,
        5008,
        "The store did not answer; the change may still take effect.",
      ),
      manifestInForceResponse(41, COOPERATIVE),
    ],
    lines: [
      `manifest publish ${PRESS} --base 40`,
      `manifest publish ${PRESS} --base 40`,
      `manifest publish ${PRESS} --base 40`,
      `manifest publish ${PRESS} --base x`,
    ],
  }));

test("session: lists the published manifest changes", () =>
  assertSessionTranscript({
    name: "manifest_history",
    responses: [{
      call: "GET /v1/operator/manifest/history",
      status: 200,
      body: {
        versions: [
          {
            version: 12,
            author: "uwimana",
            changeId: "build-790",
            atMs: 1796265600000,
          },
          {
            version: 41,
            author: "uwimana",
            changeId: "build-812",
            atMs: 1796265660000,
          },
        ],
      },
    }],
    lines: ["manifest history", "manifest history --json"],
  }));
