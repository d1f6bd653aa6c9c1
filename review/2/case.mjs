// One worker, on which many small tasks of several submissions run. When the
// first of them end, the store is silent for a while, so that no end can be taken
// note of, and the worker has more ends to list than it returns at a time.
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
} from "../1/shared/harness.mjs";
import { startsAfterDone } from "../1/shared/checks.mjs";

const JOBS = 9;
const TASKS_PER_JOB = 90;
const TASK_MS = 5_000;
/** Pause between two submissions, in milliseconds. */
const PAUSE_MS = 300;
/** How long the store is silent; the site's largest dose is 4.5 s. */
const OUTAGE_MS = 4_300;
const jobs = Array.from({ length: JOBS }, (_, n) => `00000000000000a${n}`);

await runCase(`${import.meta.dirname}/record.txt`, async (cluster) => {
  const store = await cluster.startStore();
  const [port] = await findPorts(1);
  await cluster.configure(store, {
    version: 3,
    routes: [route("bulk", "/bulk/", "order-desk")],
    services: [{ name: "order-desk", enforces_capacity: false }],
  });
  await cluster.startWorker(store, {
    id: "i-0000000a",
    port,
    service: "order-desk",
    cpu: 32_000,
    quiet: process.env.LOGS !== "1",
  });
  const first = await cluster.startInstance(store, 1);
  await cluster.startInstance(store, 2);
  await sleep(3_000);
  for (const job of jobs) {
    const submitted = await cluster.client(first, "POST", `/bulk/${job}`, {
      spec: JSON.stringify({ ms: TASK_MS }),
      phases: [{
        count: TASKS_PER_JOB,
        cpu: 30,
        mem_mb: 50,
        estimate_ms: TASK_MS,
      }],
    });
    if (submitted.status !== 200) return NOT_RUN;
    await sleep(PAUSE_MS);
  }
  const ends = () =>
    cluster.events.filter(({ event }) => event === "end").length;
  await waitUntil(() => ends() > 0, 10_000);
  if (TROUBLE) {
    cluster.record(`the store is silent for ${OUTAGE_MS} ms`);
    store.child.kill("SIGSTOP");
    await sleep(OUTAGE_MS);
    store.child.kill("SIGCONT");
    cluster.record("the store answers again");
  }
  for (const job of jobs) {
    await waitUntil(async () => {
      await sleep(500);
      const answer = await cluster.client(first, "GET", `/bulk/${job}`);
      return answer.text?.includes("complete");
    }, 30_000);
  }
  await sleep(1_000);
  const starts = cluster.events.filter(({ event }) => event === "start");
  const broken = startsAfterDone(cluster.events);
  cluster.record(
    `tasks ${JOBS * TASKS_PER_JOB}, starts ${starts.length}, ends ${ends()}, ` +
      `starts after an end "done" that was taken note of: ${broken.length}`,
  );
  for (const { start, done } of broken.slice(0, 20)) {
    cluster.record(
      `run twice: ${JSON.stringify(done)} ${JSON.stringify(start)}`,
    );
  }
  return broken.length > 0 ? BROKEN : HELD;
});
