// A submission of many tasks whose workers return checkpoints of 250 characters,
// beside a submission whose task fails once and is due again afterwards. With
// TROUBLE=0 the checkpoints have 16 characters.
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

const WORKERS = 8;
const WIDE_JOB = "00000000000000c1";
const RETRIED_JOB = "00000000000000c2";
const LATER_JOB = "00000000000000c3";
const TASKS = 1_200;
const TASK_MS = 6_000;
const CHECKPOINT_LENGTH = TROUBLE ? 250 : 16;
/** When the task of the other submission fails. */
const FAILS_AFTER_MS = 9_000;
/** How long a task whose turn has come may wait while there is room. */
const MAX_WAIT_MS = 3_000;
const FINISH_MS = 14_000;

await runCase(`${import.meta.dirname}/record.txt`, async (cluster) => {
  const store = await cluster.startStore();
  const ports = await findPorts(WORKERS);
  await cluster.configure(store, {
    version: 3,
    routes: [route("bulk", "/bulk/", "order-desk")],
    services: [{ name: "order-desk", enforces_capacity: false }],
  });
  for (let n = 0; n < WORKERS; n += 1) {
    await cluster.startWorker(store, {
      id: `i-0000000${n}`,
      port: ports[n],
      service: "order-desk",
      cpu: 32_000,
      quiet: process.env.LOGS !== "1",
    });
  }
  const first = await cluster.startInstance(store, 1);
  await cluster.startInstance(store, 2);
  await sleep(3_000);
  const submit = (job, spec, phase) =>
    cluster.client(first, "POST", `/bulk/${job}`, {
      spec: JSON.stringify(spec),
      phases: [{ cpu: 100, mem_mb: 50, ...phase }],
    });
  const retried = await submit(
    RETRIED_JOB,
    { ms: FAILS_AFTER_MS, failsFirst: true },
    { count: 1, estimate_ms: FAILS_AFTER_MS },
  );
  const wide = await submit(
    WIDE_JOB,
    { ms: TASK_MS, saves: CHECKPOINT_LENGTH },
    { count: TASKS, estimate_ms: TASK_MS, saves_progress: true },
  );
  if (retried.status !== 200 || wide.status !== 200) return NOT_RUN;
  const ofRetried = () =>
    cluster.events.filter(({ task }) => task === `${RETRIED_JOB}.0.0.0`);
  const hasFailed = () => ofRetried().some(({ how }) => how === "failed");
  if (!await waitUntil(hasFailed, 30_000)) return NOT_RUN;
  // All workers together have room for 2,560 such tasks.
  await sleep(FINISH_MS + MAX_WAIT_MS);
  for (const event of ofRetried()) cluster.record(JSON.stringify(event));
  for (const job of [WIDE_JOB, RETRIED_JOB]) {
    await cluster.client(first, "GET", `/bulk/${job}`);
  }
  await submit(LATER_JOB, { ms: 500 }, { count: 1, estimate_ms: 500 });
  const done = cluster.events.filter(({ how }) => how === "done").length;
  const failed = ofRetried().find(({ how }) => how === "failed");
  const next = ofRetried().find(({ event, atMs }) =>
    event === "start" && atMs >= failed.atMs
  );
  const waitedMs = (next?.atMs ?? Date.now()) - failed.atMs;
  cluster.record(
    `runs that ended "done" ${done}; the failed task was ` +
      `${next === undefined ? "not started" : "started"} again ` +
      `within ${waitedMs} ms`,
  );
  return waitedMs > FINISH_MS ? BROKEN : HELD;
});
