// A client hands a submission in at an instance that stands still, gets no answer,
// closes its channel, and cancels at another instance, which answers 410. When the
// first instance goes on, the submission is accepted and runs.
import {
  BROKEN,
  findPorts,
  HELD,
  NOT_RUN,
  route,
  runCase,
  sleep,
  TROUBLE,
} from "../1/shared/harness.mjs";

const WORKERS = 2;
const JOB = "00000000000000d1";
const TASK_MS = 8_000;
/** The site's largest dose is 4.0 s. */
const FREEZE_MS = 3_850;
/** After this time without an answer, the client gives up and cancels. */
const GIVE_UP_MS = 400;
const CANCEL_MS = 3_000;

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
    });
  }
  // The first instance becomes the owner, and is in touch all the while.
  const first = await cluster.startInstance(store, 1);
  await sleep(2_000);
  const second = await cluster.startInstance(store, 2);
  await sleep(6_000);
  if (TROUBLE) {
    cluster.record("instance 2 stands still");
    second.child.kill("SIGSTOP");
  }
  const submitted = cluster.client(second, "POST", `/bulk/${JOB}`, {
    spec: JSON.stringify({ ms: TASK_MS }),
    phases: [{ count: 2, cpu: 8_000, mem_mb: 1_000, estimate_ms: TASK_MS }],
  }, { timeoutMs: TROUBLE ? GIVE_UP_MS : 5_000 });
  await sleep(GIVE_UP_MS);
  const cancelled = await cluster.client(first, "DELETE", `/bulk/${JOB}`);
  const cancelledAtMs = Date.now();
  if (cancelled.status !== 200 && cancelled.status !== 410) return NOT_RUN;
  await sleep(FREEZE_MS - GIVE_UP_MS);
  if (TROUBLE) {
    second.child.kill("SIGCONT");
    cluster.record("instance 2 goes on");
  }
  await submitted;
  await sleep(6_000);
  const late = cluster.events.filter(({ event, atMs }) =>
    event === "start" && atMs > cancelledAtMs + CANCEL_MS
  );
  for (const start of late) {
    cluster.record(
      `started ${start.atMs - cancelledAtMs} ms after the cancelling was ` +
        `acknowledged: ${JSON.stringify(start)}`,
    );
  }
  return late.length > 0 ? BROKEN : HELD;
});
