// A submission of one task that only two of eight workers may run. Each of them
// crashes silently shortly before the start of the task is sent to it, and starts
// again after a second. The task begins nowhere.
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
const LABEL = "x";
const FILLING_JOB = "00000000000000b0";
const JOB = "00000000000000b1";
const WORKER_CPU = 16_000;
/** How long a worker is silent before its next life. */
const DOWN_MS = 1_000;
/** Somewhat less than what the owner takes until it sends the next start. */
const RETRY_MS = 1_700;

await runCase(`${import.meta.dirname}/record.txt`, async (cluster) => {
  const store = await cluster.startStore();
  const ports = await findPorts(WORKERS);
  await cluster.configure(store, {
    version: 3,
    routes: [route("tally", "/tally/", "pegbook")],
    services: [{ name: "pegbook", enforces_capacity: false }],
  });
  const options = ports.map((port, n) => ({
    id: `i-0000000${n}`,
    port,
    service: "pegbook",
    cpu: WORKER_CPU,
    mem_mb: 32_768,
    labels: [n < WORKERS - 2 ? "a" : LABEL, "r1"],
  }));
  const workers = new Map();
  for (const option of options) {
    workers.set(option.id, await cluster.startWorker(store, option));
  }
  const first = await cluster.startInstance(store, 1);
  await cluster.startInstance(store, 2);
  await sleep(3_000);

  const submit = async (id, ms, cpu) => {
    const answer = await cluster.client(first, "POST", `/tally/${id}`, {
      spec: JSON.stringify({ ms }),
      phases: [{
        count: 1,
        cpu,
        mem_mb: 1_000,
        estimate_ms: ms,
        requires: LABEL,
      }],
    });
    return answer.status === 200;
  };
  const fallSilent = (id) => {
    cluster.record(`${id} falls silent`);
    workers.get(id).kill("SIGSTOP");
  };
  const startAgain = async (id) => {
    workers.get(id).kill("SIGKILL");
    const option = options.find((known) => known.id === id);
    workers.set(id, await cluster.startWorker(store, option));
  };

  // It fills one of the two workers, so that the other one is chosen next.
  if (!await submit(FILLING_JOB, 1_700, WORKER_CPU)) return NOT_RUN;
  const find = (id, kind) =>
    cluster.events.find(({ event, task }) =>
      event === kind && task?.startsWith(id)
    );
  await waitUntil(() => find(FILLING_JOB, "start") !== undefined, 5_000);
  const later = find(FILLING_JOB, "start")?.worker;
  const [earlier] = options.slice(-2).map(({ id }) => id)
    .filter((id) => id !== later);
  if (later === undefined) return NOT_RUN;
  await sleep(900);
  if (TROUBLE) {
    fallSilent(earlier);
    setTimeout(async () => {
      await startAgain(earlier);
      await sleep(RETRY_MS);
      fallSilent(later);
      setTimeout(() => startAgain(later), DOWN_MS);
    }, DOWN_MS);
  }
  if (!await submit(JOB, 2_000, 8_000)) return NOT_RUN;
  let state = "";
  await waitUntil(async () => {
    await sleep(1_000);
    const answer = await cluster.client(first, "GET", `/tally/${JOB}`);
    state = answer.text ?? "";
    return /failed|complete/.test(state);
  }, 25_000);
  const isFailed = state.includes("failed");
  const begun = cluster.events.filter(({ event, task }) =>
    event === "start" && task.startsWith(JOB)
  );
  cluster.record(`starts of the task ${begun.length}, shown as ${state}`);
  return isFailed && begun.length === 0 ? BROKEN : HELD;
});
