/**
 * A small deployment for the scripts of cases 11 to 15: daemons with the command
 * of the deploy file, a store and workers on loopback addresses. The state of the
 * store and of the workers is that of the project's own stand-ins; what these
 * leave out of the pages (pages of a list, waiting reads) is added here.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import * as storeModel from "../dist/stand_ins/platform/store.js";
import * as workerModel from "../dist/stand_ins/platform/worker.js";
import { encodeRecords } from "../dist/platform/record_format.js";
import { findFreePorts } from "../dist/stand_ins/local_cluster/free_ports.js";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const HOST = "127.0.0.1";
const STORE_DELAY_MS = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const READ_BYTES = 1_048_576;
const HEARTBEAT_MS = 1_500;
export const hasTrouble = process.env.TROUBLE !== "0";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes lines to a file, with the time since the start of the script. */
export function createRecord(file) {
  const startedAtMs = Date.now();
  writeFileSync(file, "");
  return (text) => {
    const line = `${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`;
    appendFileSync(file, line + "\n");
    process.stdout.write(line + "\n");
  };
}

async function listen(handle) {
  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const result = await handle(request, Buffer.concat(chunks));
    if (result === undefined || response.destroyed) return;
    const { status, body } = result;
    response.writeHead(status);
    response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body));
  });
  server.listen(0, HOST);
  await once(server, "listening");
  return { server, address: `${HOST}:${server.address().port}` };
}

/** The newest records of a partition, at most 500 or 1 MB in a response. */
function pageOfNewest(store, query) {
  const log = storeModel.getOrCreateLog(store, query.get("topic") ?? "", query.get("part") ?? "0");
  const after = query.get("after");
  const items = [];
  let bytes = 0;
  let hasMore = false;
  // Deleted keys make room at their place, so the order is that of the keys.
  if (after === null || log.sortedKeys === undefined) {
    log.sortedKeys = [...log.latestByKey.keys()].sort();
  }
  let index = 0;
  if (after !== null) {
    let low = 0;
    let high = log.sortedKeys.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (log.sortedKeys[middle] <= after) low = middle + 1;
      else high = middle;
    }
    index = low;
  }
  for (; index < log.sortedKeys.length; index += 1) {
    const key = log.sortedKeys[index];
    const known = log.latestByKey.get(key);
    if (known === undefined) continue;
    if (items.length === PAGE_ITEMS || (bytes > 0 && bytes + known.value.length > PAGE_BYTES)) {
      hasMore = true;
      break;
    }
    bytes += known.value.length;
    items.push({ key, value: Buffer.from(known.value).toString("base64"), offset: known.offset });
  }
  return { status: 200, body: { items, has_more: hasMore, end_offset: log.records.length } };
}

/** Reads records, at most 1 MB; waits for one if there is none yet. */
async function readRecords(store, query, isOpen) {
  const log = storeModel.getOrCreateLog(store, query.get("topic") ?? "", query.get("part") ?? "0");
  const from = Number(query.get("from"));
  const untilMs = Date.now() + Number(query.get("wait_ms") ?? 0);
  while (log.records.length <= from && Date.now() < untilMs && isOpen()) await sleep(10);
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(log.records.length), 0);
  const records = [];
  let bytes = 0;
  for (let offset = from; offset < log.records.length; offset += 1) {
    const record = log.records[offset];
    if (bytes > 0 && bytes + record.length > READ_BYTES) break;
    bytes += record.length;
    records.push(record);
  }
  return { status: 200, body: Buffer.concat([header, ...records]) };
}

/**
 * Starts the store. `mode` is "up"; "busy", where every call gets a 503 and
 * nothing is done; or "silent", where nothing is answered and nothing is done.
 * While the store is not up, the times of its groups pause.
 */
async function startStore(partitions) {
  const model = storeModel.createStore(partitions);
  let pausedMs = 0;
  let downSinceMs;
  const store = {
    model,
    mode: "up",
    /** Called for each append, after the delay and before it is carried out. */
    onAppend: undefined,
    setMode(mode) {
      if (mode !== "up" && store.mode === "up") downSinceMs = Date.now();
      if (mode === "up" && store.mode !== "up") pausedMs += Date.now() - downSinceMs;
      store.mode = mode;
    },
    put(topic, key, value) {
      storeModel.appendRecords(
        model,
        new URLSearchParams({ topic, part: "0" }),
        encodeRecords([{ key, value: value === undefined ? undefined : JSON.stringify(value) }]),
      );
    },
  };
  const { server, address } = await listen(async (request, body) => {
    await sleep(STORE_DELAY_MS);
    if (store.mode === "busy") return { status: 503, body: {} };
    if (store.mode === "silent") return undefined;
    const url = new URL(request.url, "http://store");
    const nowMs = Date.now() - pausedMs;
    const query = url.searchParams;
    switch (url.pathname) {
      case "/log-append":
        if (store.onAppend !== undefined) {
          const answer = await store.onAppend(query, body);
          if (answer !== undefined) return answer;
        }
        return storeModel.appendRecords(model, query, body);
      case "/log-read":
        return await readRecords(model, query, () => store.mode === "up");
      case "/log-newest":
        return pageOfNewest(model, query);
      case "/log-join":
        return storeModel.joinGroup(model, JSON.parse(body.toString()), nowMs);
      case "/log-leave":
        return storeModel.leaveGroup(model, JSON.parse(body.toString()));
      case "/log-owners":
        return storeModel.listOwners(model, query.get("group") ?? "", nowMs);
      default:
        return { status: 404, body: {} };
    }
  });
  return Object.assign(store, { server, address });
}

/** Starts a worker and lists it. */
async function startWorker(store, options, record) {
  const { id, service, capacity, durationMs, maxLeaseMs, labels } = options;
  const model = workerModel.createWorker(id, durationMs, Date.now(), () => false, {
    maxLeaseMs,
    clockStartMs: 0,
  });
  const worker = { id, model, isSilent: false };
  const { server, address } = await listen(async (request, body) => {
    if (worker.isSilent) return undefined;
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) return { status: 421, body: {} };
    const path = request.url;
    const command = JSON.parse(body.toString());
    const before = worker.model.started.length;
    const answer = workerModel.handleCommand(worker.model, path, command, Date.now());
    for (const run of worker.model.started.slice(before)) {
      if (options.logsStarts !== false) record(`${id} starts ${run.task} attempt ${run.attempt}`);
      options.onStart?.(worker, run);
    }
    if (path !== "/hold" || answer.status !== 200) return answer;
    await waitForEnd(worker.model, command);
    if (worker.isSilent) return undefined;
    const look = workerModel.heartbeatCommand({
      epoch: worker.model.fence,
      leaseUntilMs: undefined,
      acknowledged: 0,
    });
    return workerModel.handleCommand(worker.model, path, look, Date.now());
  });
  let seq = 0;
  const ping = () => {
    seq += 1;
    store.put("keyed.servers", id, {
      service,
      addr: address,
      zone: "a",
      version: "v1",
      slots: 8,
      state: "ready",
      warmup_left_ms: 0,
      capacity,
      labels,
      born: model.bornMs,
      seq,
    });
  };
  ping();
  let pingedAtMs = Date.now();
  const timer = setInterval(() => {
    // What runs ends when it is done, or with the lease.
    workerModel.endDueRuns(model, Date.now());
    if (Date.now() - pingedAtMs < HEARTBEAT_MS || store.mode !== "up" || worker.isSilent) return;
    pingedAtMs = Date.now();
    ping();
  }, 50);
  return Object.assign(worker, { server, address, timer });
}

/** Waits for an end that is not acknowledged, as long as the call asks. */
async function waitForEnd(model, command) {
  const untilMs = Date.now() + (command.wait_ms ?? 0);
  while (Date.now() < untilMs) {
    workerModel.endDueRuns(model, Date.now());
    if (model.endedRuns.some(([number]) => number > (command.ack_cursor ?? 0))) return;
    await sleep(10);
  }
}

/** Fills a template of the deploy file with plain values. */
function fillTemplate(text, fields) {
  return text.replace(/\{\{([a-z0-9_.]+)\}\}/g, (_, path) => {
    const value = path.split(".").reduce((at, name) => at?.[name], fields);
    return value === undefined ? "" : String(value);
  });
}

/** The command of the deploy file, and the variables that it sets. */
function readDeployFile() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  const template = /^template = "(.*)"$/m.exec(text)[1];
  const env = [...text.matchAll(/^(SAMPHIRESTAGE_\w+) = "(.*)"$/gm)];
  return {
    run,
    template: readFileSync(join(root, template), "utf8"),
    env: Object.fromEntries(env.map(([, name, value]) => [name, value])),
  };
}

/**
 * Starts a deployment with the bounds of a small site.
 *
 * @param options `instances`, `workers`, `configuration`, `durationMs(spec, task)`,
 *   `bounds`, and `onStart(worker, run)`, which is called for each task start
 */
export async function startDeployment(record, options) {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-case-"));
  const partitions = 12;
  const store = await startStore(partitions);
  store.put("keyed.op", "config", options.configuration);
  const workers = [];
  for (let index = 0; index < options.workers; index += 1) {
    workers.push(
      await startWorker(store, {
        id: `i-${index.toString(16).padStart(8, "0")}`,
        service: "desk",
        capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
        labels: ["a", `r1-${Math.floor(index / 5)}`],
        durationMs: options.durationMs,
        maxLeaseMs: 10_000,
        logsStarts: options.logsStarts,
        onStart: options.onStart,
      }, record),
    );
  }
  const deploy = readDeployFile();
  const portsEach = 5;
  const ports = await findFreePorts(options.instances * portsEach);
  const instances = Array.from({ length: options.instances }, (_, index) => {
    const [frontend, ready, peer, metrics] = ports.slice(index * portsEach);
    const fields = {
      node: `edge-a-${index}`,
      zone: "a",
      region: "a",
      ip: HOST,
      internal_ports: [peer, metrics],
      hint: "",
      heartbeat_ms: HEARTBEAT_MS,
      listen: { frontend: `${HOST}:${frontend}`, ready_addr: `${HOST}:${ready}` },
      limits: { cpu_share: 0.675, memory_mb: 350, max_fds: 4_100 },
      bounds: {
        hold_max_ms: 10_000,
        status_s: 120,
        grace_s: 6,
        config_apply_ms: 2_500,
        ...options.bounds,
      },
      platform: { addr: store.address, parts: partitions },
    };
    const settings = join(folder, `${index}.ini`);
    // Ports are shared by all instances here, so each has one port for its peers.
    const template = deploy.template.replace("peer_port_count = 2", "peer_port_count = 1");
    const writeSettings = (bounds) => {
      Object.assign(fields.bounds, bounds);
      writeFileSync(settings, fillTemplate(template, fields));
    };
    writeSettings({});
    const env = { PATH: process.env.PATH, HOME: folder, LANG: "C", SAMPHIRESTAGE_NODE_FILE: settings };
    for (const [name, value] of Object.entries(deploy.env)) {
      env[name] = fillTemplate(value, fields);
    }
    return { index, env, url: `http://${HOST}:${frontend}`, ready: `http://${HOST}:${ready}`, ends: 0, writeSettings };
  });
  const deployment = { folder, store, workers, instances, isStopping: false };
  for (const instance of instances) startInstance(deployment, instance, deploy.run, record);
  return deployment;
}

/** Starts a process; one that ends is started again after a short delay. */
function startInstance(deployment, instance, run, record) {
  const [command, ...args] = run;
  const child = spawn(command === "node" ? process.execPath : command, args, {
    cwd: root,
    env: instance.env,
    stdio: ["ignore", process.env.LOGS ? "inherit" : "ignore", "ignore"],
  });
  instance.child = child;
  child.once("exit", (code, signal) => {
    if (deployment.isStopping) return;
    instance.ends += 1;
    record(`the process of instance ${instance.index} ended: code ${code}, signal ${signal}`);
    setTimeout(() => {
      if (!deployment.isStopping) startInstance(deployment, instance, run, record);
    }, 500);
  });
}

/** Ends all processes and servers of a deployment. */
export async function stopDeployment(deployment) {
  deployment.isStopping = true;
  await Promise.all(deployment.instances.map(async ({ child }) => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, "exit");
    child.kill("SIGKILL");
    await ended;
  }));
  for (const { server, timer } of [deployment.store, ...deployment.workers]) {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  }
  rmSync(deployment.folder, { recursive: true, force: true });
}

/** Starts to call an instance; the result has `answer` and `abort`. */
export function startCall(instance, method, path, { body, timeoutMs = 3_000, headers = {}, host = "desk.example" } = {}) {
  let abort;
  const answer = new Promise((resolve) => {
    const url = new URL(path, instance.url);
    const request = httpRequest(url, {
      method,
      agent: new Agent(),
      headers: {
        host,
        "deadline-ms": String(timeoutMs),
        ...(body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, async (response) => {
      const chunks = [];
      try {
        for await (const chunk of response) chunks.push(chunk);
        const text = Buffer.concat(chunks).toString();
        let value = {};
        try {
          value = JSON.parse(text);
        } catch {
          value = { text };
        }
        finish({ status: response.statusCode, body: value, headers: response.headers });
      } catch {
        finish({ status: 0, body: {}, headers: {} });
      }
    });
    const timer = setTimeout(() => request.destroy(new Error("time limit")), timeoutMs);
    const finish = (value) => {
      clearTimeout(timer);
      resolve(value);
    };
    abort = () => request.destroy(new Error("the client broke the channel"));
    request.on("error", (error) => finish({ status: 0, body: { error: error.message }, headers: {} }));
    request.end(body);
  });
  return { answer, abort };
}

export const call = (...args) => startCall(...args).answer;

export const idOf = (number) => number.toString(16).padStart(16, "0");

/** Waits until each instance accepts and shows submissions. */
export async function waitUntilServing(deployment, prefix, submission, headers = {}) {
  const untilMs = Date.now() + 20_000;
  for (const instance of deployment.instances) {
    for (;;) {
      const answer = await call(instance, "POST", prefix + idOf(0xf000 + instance.index), { body: submission, headers });
      if (answer.status === 200) break;
      if (Date.now() > untilMs) throw new Error("the deployment doesn't serve");
      await sleep(100);
    }
  }
}

/**
 * Runs a case and exits with 1 if it broke the rule, 0 if not, 2 if it couldn't run.
 *
 * @param recordFile the path of the `record.txt` of the case
 */
export async function runCase(recordFile, play) {
  const record = createRecord(recordFile);
  let deployment;
  let code = 2;
  const limit = setTimeout(() => {
    record("the case took too long");
    finish(2);
  }, 115_000);
  let isFinishing = false;
  const finish = async (result) => {
    if (isFinishing) return;
    isFinishing = true;
    clearTimeout(limit);
    if (deployment !== undefined) await stopDeployment(deployment);
    process.exit(result);
  };
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => finish(2));
  try {
    record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    const isBroken = await play(record, async (options) => {
      deployment = await startDeployment(record, options);
      return deployment;
    });
    code = isBroken ? 1 : 0;
    record(isBroken ? "result: the rule was broken" : "result: the rule held");
  } catch (error) {
    record(`the case couldn't run: ${error.stack}`);
  }
  await finish(code);
}
