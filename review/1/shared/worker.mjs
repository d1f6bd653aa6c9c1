// Stand-in for one worker (PROTOCOL.md, "Running tasks"), which registers itself
// in the store. A task's spec is JSON: `ms` is how long it runs; a task without
// it lasts; `saves` is the length of its checkpoints. Each start and end is a
// line of JSON on standard output. With `failsFirst`, the first run fails.
// Usage: node worker.mjs OPTIONS, a JSON object of id, port, store, service, cpu,
// gpu, mem_mb, labels, pingMs, stopMs and holdMaxMs.
import { createServer, request as httpRequest } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, port, store, service, cpu, mem_mb, gpu, pingMs, stopMs } = options;
const labels = options.labels ?? ["a", "r1"];
const startedAtMs = performance.now();
const born = Date.now();
const MAX_ENDS = 500;
const CHECKPOINT_MS = 500;
let fence = 0;
let leaseUntilMs = 0;
let nextEnd = 1;
let ends = [];
/** Active runs by task. */
const running = new Map();
/** The highest run that was stopped or ended here, by task. */
const closed = new Map();
const waiting = new Set();

const clockMs = () => Math.floor(performance.now() - startedAtMs) + 1_000;

function report(event) {
  process.stdout.write(
    JSON.stringify({ atMs: Date.now(), worker: id, born, ...event }) + "\n",
  );
}

function end(task, how) {
  const run = running.get(task);
  if (run === undefined) return;
  clearTimeout(run.timer);
  running.delete(task);
  close(task, run.attempt);
  const number = nextEnd++;
  const saved = how === "done" || run.saves === 0 ? "" : checkpointOf(run);
  ends.push([number, task, run.attempt, how, saved]);
  report({ event: "end", number, task, attempt: run.attempt, how });
  for (const wake of waiting) wake();
}

function checkpointOf({ startMs, saves }) {
  const count = Math.floor((clockMs() - startMs) / CHECKPOINT_MS);
  return count === 0 ? "" : String(count).padStart(saves, "0").slice(-saves);
}

function close(task, attempt) {
  closed.set(task, Math.max(attempt, closed.get(task) ?? 0));
}

function start(call) {
  const { task, attempt } = call;
  if (running.get(task)?.attempt === attempt) return { status: 200, body: {} };
  if (attempt <= (closed.get(task) ?? 0) || running.has(task)) {
    return { status: 409, body: { reason: "old" } };
  }
  if ((call.deadline_ms ?? 0) < clockMs()) {
    return { status: 409, body: { reason: "late" } };
  }
  const { ms, saves = 0, failsFirst = false } = JSON.parse(call.spec);
  const run = { attempt, startMs: clockMs(), ms, saves };
  running.set(task, run);
  const how = failsFirst && attempt === 1 ? "failed" : "done";
  if (ms !== undefined) run.timer = setTimeout(() => end(task, how), ms);
  report({ event: "start", task, attempt, spec: call.spec });
  return { status: 200, body: {} };
}

function stop({ task, attempt }) {
  close(task, attempt);
  if (running.get(task)?.attempt <= attempt) {
    setTimeout(() => {
      if (running.get(task)?.attempt <= attempt) end(task, "stopped");
    }, stopMs);
  }
  return { status: 200, body: {} };
}

async function hold({ ack_cursor = 0, wait_ms = 0 }) {
  if (ends.some(([number]) => number <= ack_cursor)) {
    report({ event: "taken note of", upTo: ack_cursor });
  }
  ends = ends.filter(([number]) => number > ack_cursor);
  if (ends.length === 0 && wait_ms > 0) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, wait_ms);
      waiting.add(wake);
    });
  }
  const rows = [...running].map(([task, run]) => [
    task,
    run.attempt,
    run.saves > 0 ? checkpointOf(run) : "",
    run.ms === undefined
      ? 100
      : Math.floor(100 * (clockMs() - run.startMs) / run.ms),
    0,
  ]);
  return {
    status: 200,
    body: { running: rows, finished: ends.slice(0, MAX_ENDS) },
  };
}

setInterval(() => {
  if (clockMs() <= leaseUntilMs) return;
  for (const task of [...running.keys()]) end(task, "lapsed");
}, 20);

async function handle(path, expected, call) {
  if (expected !== undefined && expected !== id) {
    return { status: 421, body: {} };
  }
  if ((call.fencing_token ?? 0) < fence) {
    return { status: 409, body: { reason: "fence" } };
  }
  fence = call.fencing_token ?? 0;
  if (call.deadline_ms !== undefined) {
    const limit = clockMs() + options.holdMaxMs;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(limit, call.deadline_ms));
  }
  switch (path) {
    case "/run-start":
      return start(call);
    case "/run-stop":
      return stop(call);
    case "/hold":
      return await hold(call);
    case "/pace":
      return { status: 200, body: {} };
    default:
      return { status: 404, body: {} };
  }
}

let seq = 0;
/** Writes this worker's entry to the store. */
function register() {
  const entry = JSON.stringify({
    service,
    addr: `127.0.0.1:${port}`,
    zone: "a",
    version: "1",
    slots: 8,
    state: "ready",
    warmup_left_ms: 0,
    seq: seq++,
    born,
    labels,
    capacity: { cpu, mem_mb, gpu },
  });
  const content = Buffer.concat([
    Buffer.from([id.length]),
    Buffer.from(id + entry),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  const call = httpRequest(
    `http://${store}/log-append?topic=keyed.servers&part=0`,
    { method: "POST" },
    (response) => {
      response.resume();
      if (call.isFirst) report({ event: "registered" });
    },
  );
  call.isFirst = seq === 1;
  call.on("error", () => {});
  call.end(Buffer.concat([length, content]));
}

createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const answer = await handle(
    request.url,
    request.headers["expect-instance"],
    JSON.parse(Buffer.concat(chunks)),
  );
  response.writeHead(answer.status);
  response.end(JSON.stringify({ clock_ms: clockMs(), born, ...answer.body }));
}).listen(port, "127.0.0.1", () => {
  register();
  setInterval(register, pingMs);
  report({ event: "up", cpu, labels });
});
