import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { checkSettingsFile } from "../settings/mod.ts";
import { checkManifest } from "./mod.ts";

const DEPLOYMENTS = [
  { name: "press", settings: "kigali-1.ini" },
  { name: "cooperative", settings: "hobart-1.ini" },
];

for (const { name, settings: file } of DEPLOYMENTS) {
  test(`examples: manifest and settings of the ${name} list the same customers`, () => {
    const folder = `examples/${name}`;
    const text = readFileSync(repositoryFile(`${folder}/manifest.json`));
    const manifest = checkManifest(JSON.parse(text.toString()));
    const settings = checkSettingsFile(repositoryFile(`${folder}/${file}`));
    assert.deepEqual(
      Object.keys(settings._unsafeUnwrap().customers),
      manifest._unsafeUnwrap().customers.map((customer) => customer.name),
    );
  });
}
