/**
 * Measures what the control work costs, at several sizes each, on 127.0.0.1.
 *
 * Arguments: the parts to run, of `fold`, `list`, `idle`, `zone` and
 * `starts`; all if none.
 *
 * @module
 */
import { cpus, totalmem } from "node:os";
import process from "node:process";
import { DAEMON_BUILDS } from "./daemon_build.ts";
import { measureFoldCost } from "./fold_cost.ts";
import { measureIdleCost } from "./idle_cost.ts";
import { measureListCost } from "./list_cost.ts";
import { measureStartCost } from "./start_cost.ts";
import { measureZoneCost } from "./zone_cost.ts";

const BYTES_PER_MIB = 1_048_576;

const parts = process.argv.slice(2);
const runs = (name: string) => parts.length === 0 || parts.includes(name);
const build = DAEMON_BUILDS.find(({ name }) => name === "bundle")!;
const memoryMib = Math.round(totalmem() / BYTES_PER_MIB);
console.log(
  `Node.js ${process.version}, ${cpus().length} cores, ${memoryMib} MiB`,
);
if (runs("fold")) measureFoldCost();
if (runs("list")) await measureListCost();
if (runs("idle")) await measureIdleCost(build);
if (runs("zone")) await measureZoneCost(build);
if (runs("starts")) await measureStartCost(build);
