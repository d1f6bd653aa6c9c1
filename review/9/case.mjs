/**
 * A config sends a queue to another service while submissions of the queue wait
 * for room. TROUBLE=0 leaves out that config.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, call, createClient, createRecord, sleep, startDaemons, startStore, startWorker } from "../stand-ins-2.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const note = createRecord(join(folder, "record.txt"));
const isTrouble = process.env.TROUBLE !== "0";
const OLD_SERVICE = "press";
const NEW_SERVICE = "desk";
const CONFIG_APPLY_MS = 2_500;
const STABLE_WINDOW_MS = 4_000;
const QUEUE = { name: "q1", host: "q1.example", prefix: "/q1/", attempts: 3, priority: 0, slack_factor: 2, target_completion_ms: 1_000 };
const WAITING = 8;

const store = await startStore();
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
  workers.push(await startWorker({
    id: `i-${service}`,
    store,
    service,
    capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
    labels: ["a", "r1"],
    plan: () => ({ workMs: 60_000, end: "done" }),
    note,
  }));
}
const cluster = await startDaemons({ count: 4, store, note });
const client = createClient({ cluster, note, route: QUEUE });
const job = { spec: "one task", phases: [{ count: 1, cpu: 32_000, mem_mb: 1_024, estimate_ms: 60_000 }] };

async function run() {
  if (!await client.allReady()) return 2;
  // One takes the whole worker, the others wait.
  for (let index = 0; index <= WAITING; index += 1) {
    const answer = await client.until("POST", `00000000000000a${index}`, job, { tries: 20 });
    if (answer.status !== 200) return 2;
    if (index === 0) await sleep(1_000);
  }
  await sleep(BOUNDS.visibleMs + 2_000);
  if (isTrouble) putConfig(2, NEW_SERVICE);
  await sleep(CONFIG_APPLY_MS + STABLE_WINDOW_MS);
  let wrong = 0;
  for (let round = 0; round < 3; round += 1) {
    for (const { name, ip, frontend } of cluster.daemons) {
      const begun = new Set(workers.flatMap(({ runs }) => runs.map(({ task }) => task.split(".")[0]))).size;
      const waiting = WAITING + 1 - begun;
      const answer = await call(ip, frontend, { path: QUEUE.prefix, hostName: QUEUE.host });
      const shown = answer.body?.pending_jobs;
      const isWrong = answer.status === 200 && shown < waiting / 2;
      note(`client: GET ${QUEUE.prefix} at ${name}: ${answer.status} ${JSON.stringify(answer.body)}; ${waiting} submissions that were accepted over ${BOUNDS.visibleMs + 2_000} ms before have not begun${isWrong ? ": MIXED" : ""}`);
      if (isWrong) wrong += 1;
    }
    await sleep(2_500);
  }
  return wrong > 0 ? 1 : 0;
}

let outcome = 2;
try {
  outcome = await run();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  await cluster.close();
  for (const worker of workers) worker.close();
  store.close();
}
note(`exit ${outcome}`);
process.exit(outcome);
