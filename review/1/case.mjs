// Six machines are removed for good, one after the other, and each is replaced
// by one at another address. Afterwards submissions arrive whose queue has a hint.
// Whoever calls the addresses of the removed machines gets no response.
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
} from "./shared/harness.mjs";

const WORKERS = 8;
const REMOVED = 6;
/** Figures of `nightly-tally` and `shelf-check` of marcala-peg. */
const HINTS = {
  1: { decide_ms: 560, per_item_ms: 7.9, valid_ms: 2_000 },
  2: { decide_ms: 6.5, per_item_ms: 0.093, valid_ms: 2_000 },
};
const CHECKS = 40;
/** Pause between these and the submission of the other kind. */
const QUIET_MS = 4_000;
/** Pause between two submissions, in milliseconds. */
const PAUSE_MS = 200;
const TASK_MS = 1_000;
/** How long the bench waits after the traffic, and the time that is allowed. */
const FINISH_MS = 14_000, MAX_WAIT_MS = 3_000;

await runCase(`${import.meta.dirname}/record.txt`, async (cluster) => {
  const store = await cluster.startStore();
  const advice = await cluster.startAdvice(HINTS);
  await cluster.configure(store, {
    version: 3,
    routes: [
      route("tally", "/tally/", "pegbook", { hint: HINTS[1], priority: 1 }),
      route("check", "/check/", "pegbook", { hint: HINTS[2] }),
    ],
    services: [{ name: "pegbook", enforces_capacity: false }],
  });
  for (const [n, port] of (await findPorts(WORKERS)).entries()) {
    await cluster.startWorker(store, {
      id: `i-0000000${n}`,
      port,
      service: "pegbook",
      cpu: 16_000,
      mem_mb: 32_768,
    });
  }
  // The first instance becomes the owner, and is in touch all the while.
  const first = await cluster.startInstance(store, 1, { advice });
  const others = [];
  for (let n = 0; n < REMOVED; n += 1) {
    others.push(await cluster.startInstance(store, n + 2, { advice }));
  }
  await sleep(3_000);
  if (TROUBLE) {
    for (const [n, instance] of others.entries()) {
      cluster.record(`instance ${n + 2} is removed for good`);
      await cluster.removeInstance(instance);
      await sleep(2_000);
      const number = n + 2 + REMOVED;
      await cluster.startInstance(store, number, { advice });
      cluster.record(`instance ${number} takes its place`);
    }
  }
  await sleep(4_000);
  const jobs = [];
  const submit = async (path, id) => {
    const answer = await cluster.client(first, "POST", `${path}${id}`, {
      spec: JSON.stringify({ ms: TASK_MS }),
      phases: [{ count: 3, cpu: 1_000, mem_mb: 1_000, estimate_ms: TASK_MS }],
    });
    jobs.push({ path, id });
    await sleep(PAUSE_MS);
    return answer.status === 200;
  };
  const padded = (n) => String(n).padStart(15, "0");
  for (let n = 0; n < CHECKS; n += 1) {
    if (!await submit("/check/", `2${padded(n)}`)) return NOT_RUN;
  }
  await sleep(QUIET_MS);
  if (!await submit("/tally/", `1${padded(0)}`)) return NOT_RUN;
  const waiting = () => {
    const started = new Set(
      cluster.events.filter(({ event }) => event === "start")
        .map(({ task }) => task.split(".")[0]),
    );
    return jobs.filter(({ id }) => !started.has(id));
  };
  await waitUntil(() => waiting().length === 0, FINISH_MS + MAX_WAIT_MS);
  for (const { path, id } of waiting()) {
    await cluster.client(first, "GET", `${path}${id}`);
  }
  cluster.record(
    `submissions of which no task has been started ` +
      `${FINISH_MS + MAX_WAIT_MS} ms after the last: ${waiting().length}`,
  );
  return waiting().length > 0 ? BROKEN : HELD;
});
