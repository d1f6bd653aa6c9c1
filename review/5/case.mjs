// Eight workers with a queue of waiting tasks that require the label "a". One of
// them crashes and starts again under its id and at its address, as a smaller
// machine of the kind "b".
import {
  BROKEN,
  findPorts,
  HELD,
  NOT_RUN,
  route,
  runCase,
  sleep,
  TROUBLE,
  waitUntil,
} from "../lib/harness.mjs";

const WORKERS = 8;
const JOB = "00000000000000e1";
const LABEL = "a";
const TASKS = 60;
const TASK_CPU = 8_000;
const TASK_MS = 5_000;
/** How long the crashed worker is down. */
const DOWN_MS = 1_000;

await runCase(import.meta.dirname, async (cluster) => {
  const store = await cluster.startStore();
  const ports = await findPorts(WORKERS);
  await cluster.configure(store, {
    version: 3,
    routes: [route("bulk", "/bulk/", "order-desk")],
    services: [{ name: "order-desk", enforces_capacity: false }],
  });
  const options = ports.map((port, n) => ({
    id: `i-0000000${n}`,
    port,
    service: "order-desk",
    cpu: 32_000,
    labels: [LABEL, "r1"],
  }));
  const workers = [];
  for (const option of options) {
    workers.push(await cluster.startWorker(store, option));
  }
  const first = await cluster.startInstance(store, 1);
  await cluster.startInstance(store, 2);
  await sleep(3_000);
  const submitted = await cluster.client(first, "POST", `/bulk/${JOB}`, {
    spec: JSON.stringify({ ms: TASK_MS }),
    phases: [{
      count: TASKS,
      cpu: TASK_CPU,
      mem_mb: 1_000,
      estimate_ms: TASK_MS,
      requires: LABEL,
    }],
  });
  if (submitted.status !== 200) return NOT_RUN;
  const starts = () => cluster.events.filter(({ event }) => event === "start");
  if (!await waitUntil(() => starts().length >= 32, 10_000)) return NOT_RUN;
  await sleep(1_000);
  if (TROUBLE) {
    const [option] = options;
    cluster.record(`${option.id} crashes, and is down for ${DOWN_MS} ms`);
    workers[0].kill("SIGKILL");
    await sleep(DOWN_MS);
    await cluster.startWorker(store, {
      ...option,
      cpu: 16_000,
      labels: ["b", "r1"],
    });
  }
  await waitUntil(async () => {
    await sleep(1_000);
    const answer = await cluster.client(first, "GET", `/bulk/${JOB}`);
    return answer.text?.includes("complete");
  }, 40_000);
  const { unlabelled, overfull } = findMisplaced(cluster.events);
  for (const start of unlabelled) {
    cluster.record(`ROUTE, no label "${LABEL}": ${JSON.stringify(start)}`);
  }
  for (const { start, used, cpu } of overfull) {
    cluster.record(`LIMIT, ${used} of ${cpu}: ${JSON.stringify(start)}`);
  }
  return unlabelled.length > 0 ? BROKEN : HELD;
});

/** Starts on a worker without the label, and those that overfill a worker. */
function findMisplaced(events) {
  const lives = new Map();
  const unlabelled = [];
  const overfull = [];
  for (const event of events) {
    const key = `${event.worker}/${event.born}`;
    if (event.event === "up") {
      lives.set(key, { cpu: event.cpu, labels: event.labels, used: 0 });
    }
    const life = lives.get(key);
    if (event.event === "end") life.used -= TASK_CPU;
    if (event.event !== "start") continue;
    life.used += TASK_CPU;
    if (!life.labels.includes(LABEL)) unlabelled.push(event);
    if (life.used > life.cpu) overfull.push({ start: event, ...life });
  }
  return { unlabelled, overfull };
}
