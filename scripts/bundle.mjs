/**
 * Bundles each program into one file in `target/`, which starts faster and
 * uses less memory than separate modules.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { chmodSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const EXECUTABLE_MODE = 0o755;
/** Stands for the digest of a bundle until the bundle is complete. */
const BUILD_PLACEHOLDER = "samphirestage-build-identity";
const BUILD_IDENTITY_LENGTH = 12;

await bundle("platform/samphirestaged.ts", "samphirestaged.mjs");
await bundle("src/cli/samphirestage.ts", "samphirestage.mjs");

async function bundle(entry, output) {
  const outfile = join(root, "target", output);
  await build({
    entryPoints: [join(root, entry)],
    outfile,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    minify: true,
    keepNames: true,
    define: { SAMPHIRESTAGE_BUILD: JSON.stringify(BUILD_PLACEHOLDER) },
    // CommonJS packages in the bundle load Node.js modules through `require`.
    banner: {
      js: 'import { createRequire } from "node:module";' +
        "const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
  });
  const [first, ...lines] = readFileSync(outfile, "utf8").split("\n");
  if (!first.startsWith("#!")) {
    throw new Error(`${entry} does not start with a "#!" line.`);
  }
  const code = ["#!/usr/bin/env node", ...lines].join("\n");
  const identity = createHash("sha256").update(code).digest("hex")
    .slice(0, BUILD_IDENTITY_LENGTH);
  writeFileSync(outfile, code.replaceAll(BUILD_PLACEHOLDER, identity));
  chmodSync(outfile, EXECUTABLE_MODE);
  process.stdout.write(`target/${output}, build ${identity}\n`);
}
