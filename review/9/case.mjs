/**
 * Two workers crash, seconds apart, each shortly after it has started the task
 * of one submission. TROUBLE=0 leaves out the crashes.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createClient, createRecord, sleep, startDaemons, startStore, startWorker, waitFor } from "../stand-ins-2.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const note = createRecord(join(folder, "record.txt"));
const isTrouble = process.env.TROUBLE !== "0";
const WORKERS = 8;
const WORK_MS = 4_000;
const DOWN_MS = 3_000;
const CRASHES = 2;
const ATTEMPTS = 3;
const ROUTE = { name: "q1", host: "q1.example", prefix: "/q1/", service: "desk" };
const ID = "00000000000000c1";

const store = await startStore();
store.put("keyed.op", "config", {
  version: 1,
  routes: [{ ...ROUTE, attempts: ATTEMPTS, priority: 0, slack_factor: 2, target_completion_ms: 1_000 }],
  services: [{ name: "desk", enforces_capacity: false }],
  limits: { max_body_bytes: 262_144 },
});
let crashes = 0;
const workers = [];
for (let index = 0; index < WORKERS; index += 1) {
  workers.push(await startWorker({
    id: `i-${index}`,
    store,
    service: "desk",
    capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
    labels: ["a", `r${index % 3}`],
    plan: () => ({ workMs: WORK_MS, end: "done" }),
    note,
    onStart: (worker, { task }) => {
      if (!isTrouble || !task.startsWith(ID) || crashes >= CRASHES) return;
      crashes += 1;
      setTimeout(worker.crash, 400);
      setTimeout(worker.start, 400 + DOWN_MS);
    },
  }));
}
const cluster = await startDaemons({ count: 4, store, note });
const client = createClient({ cluster, note, route: ROUTE });
const job = { spec: "one task", phases: [{ count: 1, cpu: 3_000, mem_mb: 1_024, estimate_ms: WORK_MS }] };

async function run() {
  if (!await client.allReady()) return 2;
  const answer = await client.until("POST", ID, job, { tries: 20 });
  if (answer.status !== 200) return 2;
  let state;
  await waitFor(60_000, async () => {
    const read = await client.until("GET", ID, undefined);
    state = read.body?.state;
    return state === "complete" || state === "failed" || state === "canceled";
  }, 500);
  if (isTrouble && crashes < CRASHES) return 2;
  const failedEnds = workers.flatMap(({ runs }) => runs).filter(({ task, end }) => task.startsWith(ID) && end === "failed").length;
  note(`the submission is shown as ${state}; ${failedEnds} of its runs have ended failed, ${ATTEMPTS} attempts are allowed`);
  await sleep(100);
  if (state === "complete") return 0;
  return state === "failed" && failedEnds < ATTEMPTS ? 1 : 2;
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
