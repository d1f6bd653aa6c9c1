/**
 * Starts any number of workers, a log and an instance list in one process.
 * Prints one line of JSON when all of them listen, and ends on SIGTERM.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import * as v from "valibot";
import { createInstanceList } from "./instance_list/mod.ts";
import { createLog } from "./log/mod.ts";
import { standInConfigSchema } from "./stand_in_config.ts";
import { createWorker } from "./worker/mod.ts";

type Closing = () => Promise<void>;

const closings: Closing[] = [];

const { values } = parseArgs({ options: { config: { type: "string" } } });
const config = v.parse(
  standInConfigSchema,
  JSON.parse(readFileSync(values.config ?? "", "utf8")),
);
process.on("SIGTERM", () => {
  Promise.all(closings.map((close) => close())).then(() => process.exit(0));
});

const workers = await startWorkers();
const log = await startLog();
const instanceList = await startInstanceList();
console.log(JSON.stringify({ ready: true, workers, log, instanceList }));

async function startWorkers() {
  const started = [];
  for (const { port, ...options } of config.workers) {
    const worker = createWorker(options);
    closings.push(worker.close);
    const url = await worker.listen(port);
    const { id, zone, region, rack } = options;
    started.push({ id, url, zone, region, rack });
  }
  return started;
}

function startLog(): Promise<string> | undefined {
  if (config.log === undefined) return undefined;
  const service = createLog({ seed: config.log.seed });
  closings.push(service.close);
  return service.listen(config.log.port);
}

function startInstanceList(): Promise<string> | undefined {
  if (config.instanceList === undefined) return undefined;
  const { port, ...options } = config.instanceList;
  const service = createInstanceList({ ...options, workers });
  closings.push(service.close);
  return service.listen(port);
}
