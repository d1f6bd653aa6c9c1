import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { call, hasTrouble, idOf, runCase, sleep, waitUntilServing } from "../stand-ins-3.mjs";

const PREFIX = "/proofs/";
const GAP_MS = 2_000;
const FINISH_MS = 14_000;
const task = { count: 1, cpu: 500, mem_mb: 10, estimate_ms: 700 };
const card = JSON.stringify({ spec: "card", phases: [task] });
const lasting = JSON.stringify({ spec: "lasting", phases: [{ ...task, long_running: true }] });

const RECORD_FILE = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(RECORD_FILE, async (record, start) => {
  const deployment = await start({
    instances: 3,
    workers: 6,
    durationMs: (spec) => (spec === "lasting" ? 600_000 : 700),
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
  const { instances, workers } = deployment;
  await waitUntilServing(deployment, PREFIX, card);
  const accepted = [];
  for (let number = 0x100; number < 0x104; number += 1) {
    const { status } = await call(instances[number % 3], "POST", PREFIX + idOf(number), { body: lasting });
    record(`POST ${idOf(number)} (one task that lasts) -> ${status}`);
    if (status === 200) accepted.push(idOf(number));
  }
  // The settings change, without a signal.
  const graceS = hasTrouble ? 4.5 : 5;
  for (const instance of instances) instance.writeSettings({ grace_s: graceS });
  record(`the settings files change: grace_s is ${graceS}`);
  await sleep(3_000);
  // Then the machines are stopped and started in turn.
  for (const instance of instances) {
    const { child } = instance;
    record(`SIGTERM to instance ${instance.index}`);
    child.kill("SIGTERM");
    const kill = setTimeout(() => child.kill("SIGKILL"), graceS * 1_000);
    await once(child, "exit");
    clearTimeout(kill);
    await sleep(GAP_MS);
  }
  record("all machines have been stopped and started");
  await sleep(FINISH_MS);
  let unanswered = 0;
  for (const [index, id] of accepted.entries()) {
    const answer = await call(instances[index % 3], "GET", PREFIX + id);
    record(`GET ${id} -> ${answer.status} ${JSON.stringify(answer.body)}`);
    if (answer.status !== 200) unanswered += 1;
  }
  const running = workers.flatMap(({ model }) => [...model.running.keys()]);
  record(`${accepted.length} submissions were accepted; ${unanswered} of them got no answer; tasks that run: ${running.length} of ${accepted.length}`);
  record(`times that processes ended: ${instances.map(({ ends }) => ends).join(", ")}`);
  return accepted.length > 0 && unanswered > 0;
});
