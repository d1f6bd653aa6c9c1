import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  instanceViewSchema,
  memberViewSchema,
  ownedDomainSchema,
  taskRowSchema,
  workerRowSchema,
} from "../api/mod.ts";
import {
  manifestChangeSchema,
  publishedManifestSchema,
} from "../manifest/mod.ts";
import {
  outcomeSchema,
  requestViewSchema,
  submissionSchema,
  taskOutcomeSchema,
} from "../model/mod.ts";
import { repositoryFile } from "./testing/golden_file.ts";

const PAGE = readFileSync(repositoryFile("docs/API.md"), "utf8");

/** Schemas whose fields the page lists as `{first, second?, ...}`. */
const LISTED_SCHEMAS = {
  view: requestViewSchema.entries,
  viewTask: requestViewSchema.entries.tasks.item.entries,
  submission: submissionSchema.entries,
  member: memberViewSchema.entries,
  ownedDomain: ownedDomainSchema.entries,
  workerRow: workerRowSchema.entries,
  taskRow: taskRowSchema.entries,
  manifestInForce: publishedManifestSchema.entries,
  manifestChange: manifestChangeSchema.entries,
};

for (const [name, entries] of Object.entries(LISTED_SCHEMAS)) {
  test(`API page: lists the fields of ${name} as the schema declares them`, () => {
    const fields = Object.entries(entries).map(([field, schema]) =>
      schema.type === "optional" ? `${field}?` : field
    );
    const fieldLists = PAGE.match(/\{[^{}]*\}/g) ?? [];
    const listedFields = fieldLists.map((list) =>
      list.slice(1, -1).split(",").map((field) => field.trim()).sort().join()
    );
    assert.ok(listedFields.includes(fields.sort().join()), fields.join(", "));
  });
}

test("API page: has a table row for each field of the status", () => {
  const rows = PAGE.slice(PAGE.indexOf("\n`Status`:")).split("\n\n")[1] ?? "";
  const documentedFields = rows.split("\n").flatMap((row) =>
    row.split("|")[1]?.match(/(?<=`)\w+(?=`)/g) ?? []
  );
  const fields = Object.keys(instanceViewSchema.entries);
  assert.deepEqual(documentedFields.sort(), fields.sort());
});

test("API page: has a table row for each kind and state of an outcome", () => {
  const kinds = [outcomeSchema, taskOutcomeSchema].flatMap(({ options }) =>
    options.map(({ entries }) => entries.kind.literal)
  );
  const [, , notKnownYet] = outcomeSchema.options;
  for (const name of [...kinds, ...notKnownYet.entries.state.options]) {
    assert.match(PAGE, new RegExp(`^\\| [^|]*\`${name}\``, "m"));
  }
});

test("API page: every four-digit code on it is that of a diagnostic", () => {
  const diagnosticCodes = new Set<number>(
    Object.values(diagnostics).map(({ code }) => code),
  );
  const documentedNumbers = PAGE.match(/\b[1-6][0-9]{3}\b/g) ?? [];
  const INTERNAL_ERROR_CODE = 3000;
  const MAX_TASKS_PER_REQUEST = 1000;
  for (const code of documentedNumbers.map(Number)) {
    if (code === INTERNAL_ERROR_CODE || code === MAX_TASKS_PER_REQUEST) {
      continue;
    }
    assert.ok(diagnosticCodes.has(code), `${code}`);
  }
});
