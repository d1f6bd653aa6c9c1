import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { repositoryFile } from "./testing/golden_file.ts";
import { assertSessionTranscript } from "./testing/session.ts";
import { VERSION } from "./version.ts";

test("session: prints help for the program, command groups and commands", () =>
  assertSessionTranscript({
    name: "help",
    responses: [],
    lines: [
      "--help",
      "--version",
      "submit --help",
      "manifest --help",
      "manifest publish -h",
      "timeline --help",
      "manifest",
    ],
  }));

test("session: reports usage errors, unreadable files and refused connections", () =>
  assertSessionTranscript({
    name: "mistakes",
    responses: [],
    environment: { SAMPHIRESTAGE_URL: undefined },
    lines: [
      "sbumit",
      "manifest toString",
      "status",
      "status --url 127.0.0.1:8001",
      "status --url",
      "status --url http://127.0.0.1:1 --verbose",
      "status --url http://127.0.0.1:1 kigali-1 --json",
      "status --settings missing.ini",
      "status --settings examples/press/kigali-1.ini",
      "explain",
      "read --url http://127.0.0.1:1 --wait-ms 1s x",
      "submit --url http://127.0.0.1:1 --work proof",
      "submit --url http://127.0.0.1:1 --agreement a --work b --tasks 1001",
      "submit --url http://127.0.0.1:1 --agreement a --work b --payload {",
      "submit --url http://127.0.0.1:1 --file -",
      "account --url http://127.0.0.1:1 --month 2026-13",
      "manifest check",
      "manifest check missing.json",
      "manifest check -",
      "timeline --url http://127.0.0.1:1 --instances 127.0.0.1",
      "status --url http://127.0.0.1:1",
      "status --url http://127.0.0.1:1 --json",
    ],
    input: '{"agreement": "order-desk", "work": "proof", "tasks": []}',
  }));

test("version: the printed version is that of package.json", () => {
  const text = readFileSync(repositoryFile("package.json"), "utf8");
  assert.equal(VERSION, JSON.parse(text).version);
});
