/**
 * Stand-ins for the platform, its workers and its clients, and the start of the
 * daemons, for the cases 6 to 10. Everything runs on loopback addresses and on
 * the real clock. The stand-ins do what the users' pages say, no more.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Figures of a small deployment, from the pages of uwimana-press. */
export const BOUNDS = {
  partitions: 12,
  appendMs: 4,
  heartbeatMs: 1_500,
  holdMaxMs: 10_000,
  stopMs: 900,
  drainMs: 2_500,
  cancelMs: 3_000,
  visibleMs: 3_000,
  finishS: 14,
  graceS: 6,
  statusS: 120,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes lines with the time since the start of the case. */
export function createRecord(path) {
  writeFileSync(path, "");
  const startedAtMs = performance.now();
  return (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(8)} ${text}\n`);
  };
}

async function listen(server, host = "127.0.0.1") {
  server.listen(0, host);
  await once(server, "listening");
  return server.address().port;
}

/**
 * Ports that are free on all addresses: some single ones, and the first of two
 * consecutive ones.
 */
async function findFreePorts(count) {
  const servers = [];
  const hold = async (port) => {
    const server = createTcpServer();
    server.listen(port, "0.0.0.0");
    try {
      await once(server, "listening");
    } catch {
      return undefined;
    }
    servers.push(server);
    return server.address().port;
  };
  const single = [];
  while (single.length < count) single.push(await hold(0));
  let pair;
  while (pair === undefined) {
    const first = await hold(0);
    if (await hold(first + 1) !== undefined) pair = first;
  }
  for (const server of servers) server.close();
  return { single, pair };
}

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function send(response, status, body) {
  if (response.destroyed) return;
  const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
  response.writeHead(status, { "content-length": bytes.length });
  response.end(bytes);
}

/* ------------------------------------------------------------------ store */

function encodeKeyed(key, value) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at, end));
    at = end;
  }
  return records;
}

/** The platform's store: logs with fenced appends, keyed topics, groups. */
export async function startStore({ oneWayMs = 0 } = {}) {
  const logs = new Map();
  const groups = new Map();
  const store = { address: "", isDown: false, logs, groups, put, remove, ownerOf };

  function logOf(topic, part) {
    const name = `${topic}/${part}`;
    if (!logs.has(name)) {
      logs.set(name, { records: [], newest: new Map(), epoch: -1, next: 0, answers: new Map(), queue: Promise.resolve(), waiters: new Set() });
    }
    return logs.get(name);
  }

  function write(log, records) {
    const offset = log.records.length;
    for (const record of records) {
      const keyLength = record[4];
      const key = record.subarray(5, 5 + keyLength).toString();
      const value = record.subarray(5 + keyLength);
      if (value.length === 0) log.newest.delete(key);
      else log.newest.set(key, { value, offset: log.records.length });
      log.records.push(record);
    }
    for (const wake of log.waiters) wake();
    return { status: 200, body: { offset, end_offset: log.records.length } };
  }

  function put(topic, key, value) {
    write(logOf(topic, 0), [encodeKeyed(key, JSON.stringify(value))]);
  }

  function remove(topic, key) {
    write(logOf(topic, 0), [encodeKeyed(key, "")]);
  }

  function append(query, body) {
    const log = logOf(query.get("topic"), query.get("part"));
    const records = splitRecords(body);
    if (records.some((record) => record.length - 4 > 262_144)) return { status: 400, body: { reason: "record" } };
    if (!query.has("producer")) return write(log, records);
    const epoch = Number(query.get("epoch"));
    const seq = Number(query.get("seq"));
    if (epoch < log.epoch) return { status: 409, body: { reason: "fenced" } };
    if (epoch > log.epoch) {
      log.epoch = epoch;
      log.next = seq;
      log.answers.clear();
    }
    if (log.answers.has(seq)) return log.answers.get(seq);
    if (seq !== log.next) return { status: 409, body: { reason: "seq", seq: log.next } };
    const answer = write(log, records);
    log.next += 1;
    log.answers.set(seq, answer);
    log.answers.delete(seq - 5);
    return answer;
  }

  async function read(query) {
    const log = logOf(query.get("topic"), query.get("part"));
    const from = Number(query.get("from"));
    const waitMs = Math.min(Number(query.get("wait_ms") ?? 0), 30_000);
    if (log.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          log.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        log.waiters.add(wake);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(log.records.length), 0);
    return { status: 200, body: Buffer.concat([header, ...log.records.slice(from)]) };
  }

  function newest(query) {
    const log = logOf(query.get("topic"), query.get("part"));
    const after = query.get("after") ?? "";
    const keys = [...log.newest.keys()].sort().filter((key) => key > after);
    const items = [];
    let bytes = 0;
    for (const key of keys.slice(0, 500)) {
      const { value, offset } = log.newest.get(key);
      bytes += value.length;
      if (items.length > 0 && bytes > 700_000) break;
      items.push({ key, value: value.toString("base64"), offset });
    }
    return { status: 200, body: { items, has_more: items.length < keys.length, end_offset: log.records.length } };
  }

  function groupOf(name) {
    if (!groups.has(name)) groups.set(name, { generation: 0, members: new Map(), owners: Array(BOUNDS.partitions).fill("") });
    const group = groups.get(name);
    if (!store.isDown) {
      for (const [member, { seenAtMs, ttlMs }] of group.members) {
        if (performance.now() - seenAtMs > ttlMs) dropMember(group, member);
      }
    }
    return group;
  }

  function dropMember(group, member) {
    if (!group.members.delete(member)) return;
    group.generation += 1;
    deal(group);
  }

  function deal(group) {
    const members = [...group.members.keys()];
    group.owners = group.owners.map((owner, part) => {
      if (group.members.has(owner)) return owner;
      return members.length === 0 ? "" : members[part % members.length];
    });
  }

  function join({ group: name, member, topic_list, ttl_ms }) {
    const group = groupOf(name);
    const isNew = !group.members.has(member);
    group.members.set(member, { seenAtMs: performance.now(), ttlMs: ttl_ms, topic: topic_list[0] });
    if (isNew) {
      group.generation += 1;
      deal(group);
    }
    const parts = group.owners.flatMap((owner, part) => owner === member ? [[topic_list[0], part, 0]] : []);
    return { status: 200, body: { generation: group.generation, parts } };
  }

  function listOwners(name) {
    const group = groupOf(name);
    const topic = [...group.members.values()][0]?.topic ?? "";
    return { status: 200, body: { parts: group.owners.map((owner, part) => [topic, part, owner, 0]) } };
  }

  /** The member that holds the partitions. */
  function ownerOf() {
    const [group] = groups.values();
    return group?.owners.find((owner) => owner !== "");
  }

  async function handle(message, body) {
    const url = new URL(message.url, "http://store");
    const query = url.searchParams;
    switch (url.pathname) {
      case "/log-append": {
        const log = logOf(query.get("topic"), query.get("part"));
        // A partition processes its appends one at a time.
        log.queue = log.queue.then(() => sleep(BOUNDS.appendMs));
        await log.queue;
        return store.isDown ? undefined : append(query, body);
      }
      case "/log-read":
        return await read(query);
      case "/log-newest":
        return newest(query);
      case "/log-join":
        return join(JSON.parse(body));
      case "/log-leave": {
        const { group, member } = JSON.parse(body);
        dropMember(groupOf(group), member);
        return { status: 200, body: {} };
      }
      case "/log-owners":
        return listOwners(query.get("group"));
      case "/log-commit":
      case "/log-trim":
        return { status: 200, body: {} };
      default:
        return { status: 404, body: {} };
    }
  }

  const server = createServer(async (message, response) => {
    const body = await readBody(message);
    // While it is down, the store takes calls, does nothing and does not answer.
    if (store.isDown) return;
    if (oneWayMs > 0) await sleep(oneWayMs);
    const answer = await handle(message, body);
    if (oneWayMs > 0) await sleep(oneWayMs);
    if (answer !== undefined && !store.isDown) send(response, answer.status, answer.body);
  });
  server.keepAliveTimeout = 60_000;
  store.address = `127.0.0.1:${await listen(server)}`;
  store.close = () => {
    server.close();
    server.closeAllConnections();
  };
  return store;
}

/* ----------------------------------------------------------------- worker */

/** A run that works for longer than this lasts. */
const LASTING_MS = 600_000;
const STARTUP_MS = 400;

/**
 * A worker. Its first entry of a later life is written after `firstEntryMs`.
 * `plan(task, attempt, spec)` returns how long a run works, in ms, and
 * how it ends (`done` or `failed`).
 */
export async function startWorker({ id, store, service, capacity, labels, zone = "a", oneWayMs = 0, firstEntryMs = 0, plan, note, onStart = () => {} }) {
  const worker = {
    id,
    isUp: true,
    isCut: false,
    capacity,
    labels,
    state: "ready",
    runs: [],
    crash,
    start,
    register,
    close,
    /** Ends one run of a submission as failed. */
    failOne: (id) => {
      const task = [...life.running.keys()].find((name) => name.startsWith(id));
      if (task !== undefined) endRun(task, "failed");
    },
  };
  let life;
  let seq = 0;
  let heartbeat;
  let server;
  let port = 0;

  function newLife() {
    life = { born: Date.now(), zeroMs: performance.now() - 1_000, fence: 0, leaseMs: 0, running: new Map(), ends: [], nextEnd: 1, closed: new Map(), waiters: new Set() };
  }

  const clockMs = () => Math.floor(performance.now() - life.zeroMs);

  function register() {
    seq += 1;
    store.put("keyed.servers", id, {
      service,
      addr: `127.0.0.1:${port}`,
      zone,
      version: "1.0",
      slots: 8,
      state: worker.state,
      seq,
      born: life.born,
      capacity: worker.capacity,
      labels: worker.labels,
    });
  }

  function endRun(task, how) {
    const run = life.running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    life.running.delete(task);
    run.record.end = how;
    run.record.endedAtMs = performance.now();
    note(`worker ${id}: run of ${task} attempt ${run.attempt} ended ${how}`);
    life.ends.push([life.nextEnd++, task, run.attempt, how, ""]);
    life.closed.set(task, Math.max(run.attempt, life.closed.get(task) ?? 0));
    for (const wake of life.waiters) wake();
  }

  function checkLease() {
    if (clockMs() <= life.leaseMs) return;
    for (const task of [...life.running.keys()]) endRun(task, "lapsed");
  }

  function takeLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const atMost = clockMs() + BOUNDS.holdMaxMs;
    life.leaseMs = Math.max(life.leaseMs, Math.min(deadlineMs, atMost));
  }

  function runStart(call) {
    const { task, attempt } = call;
    if (call.deadline_ms < clockMs()) return conflict("late");
    takeLease(call.deadline_ms);
    const running = life.running.get(task);
    if (running?.attempt === attempt) return ok();
    if (running !== undefined || attempt <= (life.closed.get(task) ?? 0)) return conflict("old");
    const { workMs, end } = plan(task, attempt, call.spec);
    const record = { worker: id, born: life.born, task, attempt, spec: call.spec, startedAtMs: performance.now(), end: undefined };
    worker.runs.push(record);
    note(`worker ${id}: started ${task} attempt ${attempt} under fence ${call.fencing_token}`);
    const timer = setTimeout(() => {
      checkLease();
      endRun(task, end);
    }, workMs);
    life.running.set(task, { attempt, record, workMs, timer });
    onStart(worker, record);
    return ok();
  }

  const ok = (more = {}) => ({ status: 200, body: { clock_ms: clockMs(), born: life.born, ...more } });
  const conflict = (reason) => ({ status: 409, body: { clock_ms: clockMs(), born: life.born, reason } });

  async function hold(call) {
    takeLease(call.deadline_ms);
    const acknowledged = call.ack_cursor ?? 0;
    life.ends = life.ends.filter(([number]) => number > acknowledged);
    const waitMs = Math.min(call.wait_ms ?? 0, 2_000);
    if (life.ends.length === 0 && waitMs > 0) {
      const { waiters } = life;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        waiters.add(wake);
      });
    }
    checkLease();
    const running = [...life.running].map(([task, { attempt, record, workMs }]) => {
      const workedMs = performance.now() - record.startedAtMs;
      // A lasting task is at work after a short startup.
      const percent = workMs > LASTING_MS
        ? Math.min(100, Math.floor(workedMs / STARTUP_MS * 100))
        : Math.min(99, Math.floor(workedMs / workMs * 100));
      return [task, attempt, "", percent, 0];
    });
    return ok({ running, finished: life.ends.slice(0, 500) });
  }

  async function handle(message, body) {
    if (message.headers["expect-instance"] !== id) return { status: 421, body: {} };
    const call = JSON.parse(body);
    checkLease();
    if ((call.fencing_token ?? 0) < life.fence) return conflict("fence");
    life.fence = call.fencing_token ?? 0;
    switch (message.url) {
      case "/hold":
        return await hold(call);
      case "/run-start":
        return runStart(call);
      case "/run-stop": {
        const run = life.running.get(call.task);
        if (run !== undefined && run.attempt <= call.attempt) endRun(call.task, "stopped");
        life.closed.set(call.task, Math.max(call.attempt, life.closed.get(call.task) ?? 0));
        return ok();
      }
      case "/pace":
        return ok();
      default:
        return { status: 404, body: {} };
    }
  }

  /** The worker's process ends; nothing of it is left. */
  function crash() {
    worker.isUp = false;
    clearInterval(heartbeat);
    for (const [task, { timer, record, attempt }] of life.running) {
      clearTimeout(timer);
      record.end = "crashed";
      record.endedAtMs = performance.now();
      note(`worker ${id}: run of ${task} attempt ${attempt} ended with its worker`);
    }
    life.running.clear();
    server.close();
    server.closeAllConnections();
    note(`worker ${id}: crashed`);
  }

  /** Starts the worker, or a new life of it under the same id and address. */
  async function start() {
    newLife();
    const { born } = life;
    server = createServer(async (message, response) => {
      const body = await readBody(message);
      if (oneWayMs > 0) await sleep(oneWayMs);
      if (worker.isCut || !worker.isUp || life.born !== born) return;
      const answer = await handle(message, body);
      if (oneWayMs > 0) await sleep(oneWayMs);
      if (worker.isCut || !worker.isUp || life.born !== born) return;
      send(response, answer.status, answer.body);
    });
    server.keepAliveTimeout = 60_000;
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    port = server.address().port;
    worker.isUp = true;
    note(`worker ${id}: started, born ${born}, capacity ${JSON.stringify(worker.capacity)}, labels ${worker.labels.join(",")}`);
    const isFirst = worker.runs.length === 0 && seq === 0;
    if (isFirst) register();
    else setTimeout(() => worker.isUp && life.born === born && register(), firstEntryMs);
    heartbeat = setInterval(() => {
      checkLease();
      if (!worker.isCut) register();
    }, BOUNDS.heartbeatMs);
  }

  function close() {
    clearInterval(heartbeat);
    for (const { timer } of life.running.values()) clearTimeout(timer);
    server.close();
    server.closeAllConnections();
  }

  await start();
  return worker;
}

/* ---------------------------------------------------------------- daemons */

/** Fills in the template of the deploy file. */
function fillTemplate(text, values) {
  return text.replace(/\{\{([^}]+)\}\}/g, (_, name) => String(values[name.trim()] ?? ""));
}

/** Starts daemons as the deploy file does, each on a loopback address. */
export async function startDaemons({ count, store, note, hint = "", zones = ["a"] }) {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-review-"));
  const template = readFileSync(join(root, "deploy", "entry.ini"), "utf8");
  const { single: [frontend, ready, metrics], pair: internal } = await findFreePorts(3);
  const base = 11 + (process.pid % 200);
  const daemons = Array.from({ length: count }, (_, index) => {
    const ip = `127.77.${base}.${index + 1}`;
    const name = `entry-${index + 1}`;
    const settings = join(folder, `${name}.ini`);
    writeFileSync(settings, fillTemplate(template, {
      node: name,
      zone: zones[index % zones.length],
      region: "r",
      "limits.cpu_share": 0.675,
      "listen.frontend": `${ip}:${frontend}`,
      "listen.ready_addr": `${ip}:${ready}`,
      ip,
      "internal_ports.0": internal,
      "internal_ports.1": metrics,
      "platform.addr": store.address,
      "platform.parts": BOUNDS.partitions,
      hint,
      heartbeat_ms: BOUNDS.heartbeatMs,
      "bounds.hold_max_ms": BOUNDS.holdMaxMs,
      "bounds.status_s": BOUNDS.statusS,
      "bounds.grace_s": BOUNDS.graceS,
    }));
    return { name, ip, frontend, ready, peers: [`${ip}:${internal}`, `${ip}:${internal + 1}`], settings, child: undefined, log: "" };
  });

  function start(daemon) {
    daemon.child = spawn("node", ["--max-old-space-size=180", "--max-semi-space-size=4", "target/samphirestaged.mjs"], {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIRESTAGE_NODE_FILE: daemon.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const keep = (chunk) => {
      if (daemon.log.length < 50_000_000) daemon.log += chunk;
    };
    daemon.child.stdout.on("data", keep);
    daemon.child.stderr.on("data", keep);
    note(`process ${daemon.name} starts, pid ${daemon.child.pid}`);
  }

  async function kill(daemon) {
    const { child } = daemon;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, "exit");
    child.kill("SIGKILL");
    note(`process ${daemon.name} gets SIGKILL`);
    await ended;
  }

  // The time limit of a script ends it with this signal.
  process.once("SIGTERM", () => {
    for (const { child } of daemons) child?.kill("SIGKILL");
    process.exit(2);
  });
  for (const daemon of daemons) start(daemon);
  return {
    daemons,
    start,
    kill,
    /** The daemon that holds the domains, by the store's group. */
    owner: () => {
      const owner = store.ownerOf();
      return daemons.find(({ peers }) => peers.includes(owner));
    },
    async close() {
      await Promise.all(daemons.map(kill));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/* ---------------------------------------------------------------- clients */

/** Makes a call; `status` is 0 without an answer in time. */
export function call(host, port, { method = "GET", path, hostName = "", body, timeoutMs = 3_000 }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const message = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: hostName,
        "deadline-ms": String(timeoutMs),
        ...(text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
      },
    });
    const end = (result) => {
      clearTimeout(timer);
      message.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end({ status: 0, cause: "no answer" }), timeoutMs);
    message.on("error", (error) => end({ status: 0, cause: error.message }));
    message.on("response", async (response) => {
      try {
        const bytes = await readBody(response);
        end({ status: response.statusCode, body: JSON.parse(bytes.toString() || "{}") });
      } catch (error) {
        end({ status: 0, cause: error.message });
      }
    });
    message.end(text);
  });
}

/** A client of one queue; it asks the daemons in turn, as through a balancer. */
export function createClient({ cluster, note, route }) {
  let turn = 0;
  const isReady = async ({ ip, ready, child }) => {
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return false;
    return (await call(ip, ready, { path: "/readyz", timeoutMs: 1_000 })).status === 200;
  };

  /** One try at the next daemon in rotation; at any one if none is ready. */
  async function attempt(method, path, body, timeoutMs) {
    const { daemons } = cluster;
    const ready = await Promise.all(daemons.map(isReady));
    while (ready.includes(true) && !ready[turn % daemons.length]) turn += 1;
    const daemon = daemons[turn++ % daemons.length];
    const answer = await call(daemon.ip, daemon.frontend, { method, path: route.prefix + path, hostName: route.host, body, timeoutMs });
    note(`client: ${method} ${route.prefix}${path} at ${daemon.name}: ${answer.status} ${JSON.stringify(answer.body ?? answer.cause)}`);
    return answer;
  }

  return {
    attempt,
    /** Tries until an answer other than 502, 503, 504, 429 or none comes. */
    async until(method, path, body, { tries = 5, pauseMs = 300, timeoutMs = 3_000 } = {}) {
      let answer;
      for (let count = 0; count < tries; count += 1) {
        answer = await attempt(method, path, body, timeoutMs);
        if (![0, 429, 502, 503, 504].includes(answer.status)) return answer;
        await sleep(pauseMs);
      }
      return answer;
    },
    async allReady(timeoutMs = 30_000) {
      const untilMs = performance.now() + timeoutMs;
      while (performance.now() < untilMs) {
        const ready = await Promise.all(cluster.daemons.map(isReady));
        if (ready.every(Boolean)) return true;
        await sleep(100);
      }
      return false;
    },
  };
}

/** Waits for a condition; false if it does not hold in time. */
export async function waitFor(timeoutMs, condition, intervalMs = 20) {
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    if (await condition()) return true;
    await sleep(intervalMs);
  }
  return false;
}
