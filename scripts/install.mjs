/**
 * Installs the declared packages when they are missing or out of date.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const lockFile = join(root, "package-lock.json");
const stamp = join(root, "node_modules", ".package-lock.json");

if (!isCurrent()) {
  const done = spawnSync("npm", ["ci", "--no-fund", "--no-audit"], {
    cwd: root,
    stdio: "inherit",
  });
  process.exitCode = done.status ?? 1;
}

function isCurrent() {
  return existsSync(stamp) &&
    statSync(stamp).mtimeMs >= statSync(lockFile).mtimeMs;
}
