import { test } from "node:test";
import { assertGolden } from "../cli/testing/golden_file.ts";
import { manifestJsonSchema } from "./mod.ts";

test("manifest: the committed JSON Schema matches the generated one", () => {
  const text = JSON.stringify(manifestJsonSchema(), undefined, 2) + "\n";
  assertGolden("docs/manifest.schema.json", text);
});
