/**
 * Installs the declared packages if they are missing or the lock file has
 * changed since the last installation. Contents are compared, because a fresh
 * checkout changes the modification time of the lock file.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const lockFile = join(root, "package-lock.json");
const installedDigestFile = join(root, "node_modules", ".installed-lock");

const digest = createHash("sha256").update(readFileSync(lockFile))
  .digest("hex");

if (
  !existsSync(installedDigestFile) ||
  readFileSync(installedDigestFile, "utf8") !== digest
) {
  const result = spawnSync("npm", ["ci", "--no-fund", "--no-audit"], {
    cwd: root,
    stdio: "inherit",
  });
  process.exitCode = result.status ?? 1;
  if (process.exitCode === 0) writeFileSync(installedDigestFile, digest);
}
