// A lasting submission of one task. Twice, the worker that runs it crashes soon
// after the task has begun, and starts again. No run of the task ends `failed`.
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
const JOB = "00000000000000b1";
const CRASHES = 2;
/** How long a crashed worker is down; the site's largest dose. */
const DOWN_MS = 4_500;
/** How long the task has run when its worker crashes. */
const RUN_MS = 400;

await runCase(import.meta.dirname, async (cluster) => {
  const store = await cluster.startStore();
  const ports = await findPorts(WORKERS);
  await cluster.configure(store, {
    version: 3,
    routes: [route("watch", "/watch/", "order-desk")],
    services: [{ name: "order-desk", enforces_capacity: false }],
  });
  const options = ports.map((port, n) => ({
    id: `i-0000000${n}`,
    port,
    service: "order-desk",
    cpu: 32_000,
  }));
  const workers = new Map();
  for (const option of options) {
    workers.set(option.id, await cluster.startWorker(store, option));
  }
  const first = await cluster.startInstance(store, 1);
  await cluster.startInstance(store, 2);
  await sleep(3_000);
  const submitted = await cluster.client(first, "POST", `/watch/${JOB}`, {
    spec: "{}",
    phases: [{ count: 1, cpu: 8_000, mem_mb: 1_000, long_running: true }],
  });
  if (submitted.status !== 200) return NOT_RUN;
  const starts = () => cluster.events.filter(({ event }) => event === "start");
  if (!await waitUntil(() => starts().length > 0, 10_000)) return NOT_RUN;
  for (let crash = 1; TROUBLE && crash <= CRASHES; crash += 1) {
    const { worker } = starts().at(-1);
    await sleep(RUN_MS);
    cluster.record(`${worker} crashes, and is down for ${DOWN_MS} ms`);
    workers.get(worker).kill("SIGKILL");
    const seen = starts().length;
    await sleep(DOWN_MS);
    const option = options.find(({ id }) => id === worker);
    workers.set(worker, await cluster.startWorker(store, option));
    if (crash === CRASHES) break;
    if (!await waitUntil(() => starts().length > seen, 15_000)) return NOT_RUN;
  }
  let isFailed = false;
  await waitUntil(async () => {
    await sleep(1_000);
    const answer = await cluster.client(first, "GET", `/watch/${JOB}`);
    isFailed = answer.text?.includes("failed") ?? false;
    return isFailed;
  }, 15_000);
  const failures = cluster.events.filter(({ how }) => how === "failed").length;
  cluster.record(
    `starts ${starts().length}, runs that ended "failed" ${failures}, ` +
      `shown as failed: ${isFailed}`,
  );
  return isFailed && failures === 0 ? BROKEN : HELD;
});
