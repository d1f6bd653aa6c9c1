import { execFileSync } from "node:child_process";
import { readdirSync } from "node:fs";
import process from "node:process";
import { test } from "node:test";
import {
  assertGolden,
  repositoryFile,
} from "../src/cli/testing/golden_file.ts";

const names = readdirSync(repositoryFile("examples"))
  .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
  .map((file) => file.replace(/\.ts$/, ""));

for (const name of names) {
  test(`examples: ${name} prints its expected output`, () => {
    const program = repositoryFile(`dist/examples/${name}.js`);
    const output = execFileSync(process.execPath, [program], {
      encoding: "utf8",
    });
    assertGolden(`examples/baselines/${name}.txt`, output);
  });
}
