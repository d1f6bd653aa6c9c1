/**
 * Bundles each program into one file in `dist/`, which takes less memory than
 * its modules do one by one.
 *
 * @module
 */
import { chmodSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const EXECUTABLE_MODE = 0o755;

await bundle("src/daemon/samphirestaged.ts", "samphirestaged.mjs", {
  // One helper thread of the engine is enough, and each has its own heap.
  hashbang: "#!/usr/bin/env -S node --v8-pool-size=1",
  plugins: [{ name: "undici pool", setup: resolveUndici }],
});
await bundle("src/cli/samphirestage.ts", "samphirestage.mjs", {
  hashbang: "#!/usr/bin/env node",
  plugins: [],
});

async function bundle(entry, output, { hashbang, plugins }) {
  const outfile = join(root, "dist", output);
  await build({
    entryPoints: [join(root, entry)],
    outfile,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    minify: true,
    plugins,
    // CommonJS packages inside the bundle ask for Node.js modules by require.
    banner: {
      js: 'import { createRequire } from "node:module";' +
        "const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
  });
  const [, ...lines] = readFileSync(outfile, "utf8").split("\n");
  writeFileSync(outfile, [hashbang, ...lines].join("\n"));
  chmodSync(outfile, EXECUTABLE_MODE);
  process.stdout.write(`dist/${output}\n`);
}

function resolveUndici(builder) {
  builder.onResolve({ filter: /^undici$/ }, () => ({
    path: join(root, "scripts", "undici_pool.mjs"),
  }));
}
