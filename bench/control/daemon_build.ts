import { fileURLToPath } from "node:url";

/** A way in which the daemon can be built and started. */
export type DaemonBuild = {
  name: string;
  /** Options of Node.js, then the file of the daemon. */
  command: [string, ...string[]];
};

const MODULES = fileOf("../../src/daemon/samphirestaged.js");
const BUNDLE = fileOf("../../samphirestaged.mjs");

/** The builds that are compared. */
export const DAEMON_BUILDS: DaemonBuild[] = [
  { name: "modules", command: [MODULES] },
  { name: "bundle", command: ["--v8-pool-size=1", BUNDLE] },
];

function fileOf(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}
