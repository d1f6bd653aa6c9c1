/**
 * Bundles the daemon of an entry instance on the platform into one file.
 *
 * @module
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");

await build({
  entryPoints: [join(root, "platform/samphirestaged.ts")],
  outfile: join(root, "target/samphirestaged.mjs"),
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minify: true,
  keepNames: true,
  // CommonJS packages inside the bundle ask for Node.js modules by require.
  banner: {
    js: 'import { createRequire } from "node:module";' +
      "const require = createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
