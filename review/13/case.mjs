import { fileURLToPath } from "node:url";
import { call, hasTrouble, idOf, runCase, sleep, startCall, waitUntilServing } from "../stand-ins-3.mjs";

const PREFIX = "/proofs/";
const STABLE_WINDOW_MS = 4_000;
const CANCEL_MS = 3_000;
const STOP_MS = 900;
const OUTAGE_MS = 1_200;

const submission = (spec) =>
  JSON.stringify({ spec, phases: [{ count: 1, cpu: 500, mem_mb: 10, estimate_ms: 700 }] });

const RECORD_FILE = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(RECORD_FILE, async (record, start) => {
  const deployment = await start({
    instances: 3,
    workers: 6,
    durationMs: (spec) => (spec === "cancelled" ? 60_000 : 300),
    logsStarts: false,
    configuration: {
      version: 7,
      routes: [{
        name: "proofs",
        host: "desk.example",
        prefix: PREFIX,
        kind: "unsafe",
        timeout_ms: 3_000,
        target_completion_ms: 400,
        priority: 0,
        service: "desk",
        attempts: 3,
        slack_factor: 1.5,
      }],
      services: [{ name: "desk", enforces_capacity: false, standby: false }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
    },
  });
  const { instances, store, workers } = deployment;
  await waitUntilServing(deployment, PREFIX, submission("card"));
  // Ordinary traffic, a submission each 60 ms at each instance in turn.
  let number = 0x1000;
  let isOpen = true;
  const statuses = new Map();
  const traffic = (async () => {
    while (isOpen) {
      number += 1;
      call(instances[number % 3], "POST", PREFIX + idOf(number), { body: submission("card") })
        .then(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
      await sleep(60);
    }
  })();
  await sleep(2_000);
  const id = idOf(0xca11ced);
  if (hasTrouble) {
    record(`the store is silent for ${OUTAGE_MS} ms`);
    store.setMode("silent");
  }
  const downAtMs = Date.now();
  const backAtMs = downAtMs + OUTAGE_MS;
  const back = sleep(OUTAGE_MS).then(() => {
    store.setMode("up");
    record("the store is up");
  });
  await sleep(250);
  record(`POST ${id} at instance 0`);
  const first = startCall(instances[0], "POST", PREFIX + id, { body: submission("cancelled") });
  await sleep(100);
  first.abort();
  record("the client breaks the channel of the POST");
  await sleep(50);
  record(`DELETE ${id} at instance 1`);
  const cancelled = await call(instances[1], "DELETE", PREFIX + id);
  const cancelledAtMs = Date.now();
  record(`the DELETE is answered ${cancelled.status}`);
  await back;
  await sleep(1_000);
  record(`POST ${id} arrives again, at instance 2`);
  const repeated = await call(instances[2], "POST", PREFIX + id, { body: submission("cancelled") });
  record(`the POST is answered ${repeated.status}`);
  // By then the cancellation has to be in force, and the core has been stable.
  const dueAtMs = Math.max(backAtMs, cancelledAtMs) + STABLE_WINDOW_MS + CANCEL_MS + STOP_MS;
  while (Date.now() < dueAtMs + 3_000) {
    await sleep(1_000);
  }
  isOpen = false;
  await traffic;
  const runs = workers.flatMap(({ id: worker, model }) =>
    model.started.filter(({ task }) => task.startsWith(id)).map((run) => ({ worker, ...run }))
  );
  for (const { worker, task, attempt, startedAtMs, endedAtMs } of runs) {
    record(`${worker} ran ${task} attempt ${attempt} from ${startedAtMs - cancelledAtMs} ms after the answer to the DELETE ${endedAtMs === undefined ? "on, and runs it now" : `to ${endedAtMs - cancelledAtMs} ms`}`);
  }
  const state = await call(instances[0], "GET", PREFIX + id);
  record(`GET ${id}: ${state.status} ${JSON.stringify(state.body)}`);
  record(`answers to the other submissions, by status: ${JSON.stringify([...statuses])}`);
  const isAcknowledged = cancelled.status === 200 || cancelled.status === 410;
  if (!isAcknowledged) record("the cancellation was not acknowledged");
  return isAcknowledged && runs.some(({ endedAtMs }) => (endedAtMs ?? Infinity) > dueAtMs);
});
