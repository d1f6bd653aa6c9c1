/**
 * Single processes are killed while a submission of many stages is at work:
 * each stage has four steps, each of which follows all four of the stage before.
 * TROUBLE=0 leaves out the kills.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, createClient, createRecord, sleep, startDaemons, startStore, startWorker, waitFor } from "../stand-ins-2.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const note = createRecord(join(folder, "record.txt"));
const isTrouble = process.env.TROUBLE !== "0";
const STAGES = 64;
const WIDTH = 4;
/** The first kill comes after the start of this stage. */
const FIRST_KILL_STAGE = 14;
/** Kills stop once no stage begins any more. */
const KILLS = 8;
const STAGE_TIMEOUT_MS = 6_000;
const KILL_INTERVAL_MS = 2_000;
const RESTART_DELAY_MS = 500;
const ROUTE = { name: "q1", host: "q1.example", prefix: "/q1/", service: "desk" };

let outcome = 2;
const store = await startStore({ oneWayMs: 12 });
store.put("keyed.op", "config", {
  version: 1,
  routes: [{ ...ROUTE, attempts: 3, priority: 0, slack_factor: 2, target_completion_ms: 1_000 }],
  services: [{ name: "desk", enforces_capacity: false }],
  limits: { max_body_bytes: 262_144 },
});
let latestStage = -1;
/** Called when the first task of a stage starts. */
let onStage = () => {};
const workers = [];
for (let index = 0; index < 4; index += 1) {
  workers.push(await startWorker({
    id: `i-${index}`,
    store,
    service: "desk",
    capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
    labels: ["a", `r${index}`],
    // Two of the workers are in another region.
    zone: index < 2 ? "a" : "b",
    oneWayMs: index < 2 ? 0 : 12,
    // Tasks of a step differ by up to a third.
    plan: () => ({ workMs: 200 + Math.random() * 100, end: "done" }),
    note,
    onStart: (_worker, { task }) => {
      const [id, , step] = task.split(".");
      const stage = Math.floor(Number(step) / WIDTH);
      if (id !== CHAIN || stage <= latestStage) return;
      latestStage = stage;
      onStage();
    },
  }));
}
const CHAIN = "00000000000000c1";
const cluster = await startDaemons({ count: 4, store, note });
const client = createClient({ cluster, note, route: ROUTE });
const single = { spec: "one task", phases: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: 250 }] };
const chain = {
  spec: "stages in order",
  phases: Array.from({ length: STAGES * WIDTH }, (_, step) => {
    const before = (Math.floor(step / WIDTH) - 1) * WIDTH;
    return {
      count: 1,
      cpu: 500,
      mem_mb: 256,
      estimate_ms: 250,
      ...(before < 0 ? {} : { after: Array.from({ length: WIDTH }, (_, index) => before + index) }),
    };
  }),
};

async function run() {
  if (!await client.allReady()) return 2;
  const first = await client.until("POST", "00000000000000a1", single, { tries: 20 });
  if (first.status !== 200) return 2;
  const accepted = ["00000000000000a1", CHAIN];
  const answer = await client.until("POST", CHAIN, chain);
  if (answer.status !== 200) return 2;
  if (!await waitFor(40_000, () => latestStage >= FIRST_KILL_STAGE)) return 2;
  if (isTrouble) {
    for (let kills = 0; kills < KILLS; kills += 1) {
      const hasBegun = await new Promise((resolve) => {
        onStage = () => resolve(true);
        setTimeout(() => resolve(false), STAGE_TIMEOUT_MS);
      });
      if (!hasBegun) break;
      const owner = cluster.owner();
      if (owner !== undefined) {
        await cluster.kill(owner);
        setTimeout(() => cluster.start(owner), RESTART_DELAY_MS);
      }
      await sleep(KILL_INTERVAL_MS);
    }
  }
  await sleep(12_000);
  const second = "00000000000000a2";
  const late = await client.until("POST", second, single, { tries: 2 });
  if (late.status === 200) accepted.push(second);
  note("the traffic ends");
  await sleep(BOUNDS.finishS * 1_000);
  let lost = 0;
  for (const id of accepted) {
    const state = await client.until("GET", id, undefined, { tries: 2 });
    const isKept = state.status === 200 && state.body.state === "complete";
    note(`${id}: ${isKept ? "complete" : `lost: ${JSON.stringify(state)}`}`);
    if (!isKept) lost += 1;
  }
  for (const { name, child } of cluster.daemons) {
    const cpuMs = await cpuOf(child.pid);
    note(`process ${name}: ${cpuMs} ms of processor time in the last second`);
  }
  return lost > 0 ? 1 : 0;
}

/** Processor time that a process takes within a second, in ms. */
async function cpuOf(pid) {
  const { readFileSync } = await import("node:fs");
  const read = () => {
    try {
      const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
      return (Number(fields[11]) + Number(fields[12])) * 10;
    } catch {
      return 0;
    }
  };
  const before = read();
  await sleep(1_000);
  return read() - before;
}

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
