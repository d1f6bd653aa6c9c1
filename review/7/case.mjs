/**
 * A config sends a queue to another service; then all processes are killed, and
 * submissions that were accepted before arrive once more.
 * TROUBLE=0 leaves out the kill.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createClient, createRecord, sleep, startDaemons, startStore, startWorker } from "../stand-ins-2.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const note = createRecord(join(folder, "record.txt"));
const isTrouble = process.env.TROUBLE !== "0";
const OLD_SERVICE = "press";
const NEW_SERVICE = "desk";
const CONFIG_APPLY_MS = 2_500;
const WORK_MS = 20_000;
const QUEUE = { name: "q1", host: "q1.example", prefix: "/q1/", attempts: 3, priority: 0, slack_factor: 2, target_completion_ms: 1_000 };
const IDS = Array.from({ length: 8 }, (_, index) => `00000000000000a${index}`);

const store = await startStore({ oneWayMs: 12 });
const putConfig = (version, service) => {
  store.put("keyed.op", "config", {
    version,
    routes: [{ ...QUEUE, service }],
    services: [OLD_SERVICE, NEW_SERVICE].map((name) => ({ name, enforces_capacity: false })),
    limits: { max_body_bytes: 262_144 },
  });
  note(`operator: config ${version} sends the queue to ${service}; acknowledged`);
};
putConfig(1, OLD_SERVICE);
const workers = [];
for (const service of [OLD_SERVICE, NEW_SERVICE]) {
  for (let index = 0; index < 3; index += 1) {
    workers.push(await startWorker({
      id: `i-${service}-${index}`,
      store,
      service,
      capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
      labels: ["a", `r${index}`],
      plan: () => ({ workMs: WORK_MS, end: "done" }),
      note,
    }));
  }
}
const cluster = await startDaemons({ count: 4, store, note });
const client = createClient({ cluster, note, route: QUEUE });
const job = { spec: "one task", phases: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: WORK_MS }] };

async function run() {
  if (!await client.allReady()) return 2;
  for (const id of IDS) {
    const answer = await client.until("POST", id, job, { tries: 20 });
    if (answer.status !== 200) return 2;
  }
  await sleep(1_500);
  putConfig(2, NEW_SERVICE);
  await sleep(CONFIG_APPLY_MS);
  if (isTrouble) {
    await Promise.all(cluster.daemons.map(cluster.kill));
    await sleep(600);
    for (const daemon of cluster.daemons) cluster.start(daemon);
  }
  // Submissions that were acknowledged seconds ago arrive once more.
  await Promise.all(IDS.map(async (id, index) => {
    await sleep(100 + 50 * index);
    await client.until("POST", id, job, { tries: 60, pauseMs: 150 });
  }));
  await sleep(8_000);
  for (const id of IDS) await client.until("GET", id, undefined, { tries: 3 });
  return countTwice() > 0 ? 1 : 0;
}

/** Tasks of which two runs were at work at the same time, or that ran again. */
function countTwice() {
  const runs = workers.flatMap((worker) => worker.runs);
  let twice = 0;
  for (const run of runs) {
    const other = runs.find((earlier) =>
      earlier !== run && earlier.task === run.task && earlier.startedAtMs <= run.startedAtMs &&
      (earlier.end === "done" || (earlier.endedAtMs ?? Infinity) > run.startedAtMs)
    );
    if (other === undefined) continue;
    twice += 1;
    note(`TWICE: ${run.task} began as attempt ${run.attempt} at ${run.worker} while attempt ${other.attempt} was at work at ${other.worker}`);
  }
  return twice;
}

let outcome = 2;
try {
  outcome = await run();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  if (process.env.KEEP_LOGS) {
    const { writeFileSync } = await import("node:fs");
    for (const { name, log } of cluster.daemons) writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), log);
  }
  await cluster.close();
  for (const worker of workers) worker.close();
  store.close();
}
note(`exit ${outcome}`);
process.exit(outcome);
