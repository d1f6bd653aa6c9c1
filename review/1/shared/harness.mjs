// Starts the daemons, with the command and the settings template of the deploy
// file, and the stand-ins as separate processes on loopback addresses.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const SHARED = dirname(fileURLToPath(import.meta.url));
const ROOT = join(SHARED, "..", "..", "..");
/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";
/** Figures of uwimana-press. */
export const SITE = {
  partitions: 12,
  pingMs: 1_500,
  holdMaxMs: 10_000,
  stopMs: 900,
};
/** Exit codes of a case. */
export const HELD = 0, BROKEN = 1, NOT_RUN = 2;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Runs a case, ends its processes and exits with its verdict.
 *
 * @param recordPath the file that what was sent, answered and run is written to
 */
export async function runCase(recordPath, play) {
  const cluster = createCluster(recordPath);
  let code = NOT_RUN;
  const end = (cause) => {
    cluster.record(`ended by ${cause}`);
    cluster.close();
    process.exit(NOT_RUN);
  };
  process.on("SIGTERM", () => end("SIGTERM"));
  process.on("SIGINT", () => end("SIGINT"));
  setTimeout(() => end("the time limit"), 115_000).unref();
  try {
    code = await play(cluster);
  } catch (error) {
    cluster.record(`the case could not run: ${error.stack}`);
  }
  cluster.record(`exit code ${code}`);
  cluster.close();
  process.exit(code);
}

function createCluster(recordPath) {
  const temporary = mkdtempSync(join(tmpdir(), "review-"));
  const startMs = Date.now();
  const children = new Set();
  /** What the workers have reported: starts, ends, and their own starts. */
  const events = [];
  writeFileSync(recordPath, "");

  const record = (line) => {
    const atS = ((Date.now() - startMs) / 1_000).toFixed(3).padStart(8);
    appendFileSync(recordPath, `${atS} s  ${line}\n`);
  };

  function launch(name, argumentList, environment, onLine) {
    const child = spawn(process.execPath, argumentList, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...environment },
      stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.exited = new Promise((resolve) =>
      child.on("exit", (code, signal) => {
        children.delete(child);
        record(`${name} ended (${signal ?? code})`);
        resolve();
      })
    );
    let rest = "";
    child.stdout.on("data", (data) => {
      const lines = (rest + data).split("\n");
      rest = lines.pop();
      lines.forEach((line) => onLine(line));
    });
    child.stderr.on("data", (data) => record(`${name} stderr: ${data}`));
    return child;
  }

  return {
    events,
    record,
    temporary,
    close() {
      for (const child of children) child.kill("SIGKILL");
      rmSync(temporary, { recursive: true, force: true });
    },
    async startStore() {
      const [port] = await findPorts(1);
      const child = await new Promise((resolve) => {
        const started = launch(
          "store",
          [join(SHARED, "store.mjs"), port, SITE.partitions, SITE.pingMs],
          {},
          () => resolve(started),
        );
      });
      return { address: `127.0.0.1:${port}`, child };
    },
    /** Starts the service that decides which workers may run a step. */
    async startAdvice(hints) {
      const [port] = await findPorts(1);
      await new Promise((resolve) =>
        launch(
          "advice",
          [join(SHARED, "advice.mjs"), port, JSON.stringify(hints)],
          {},
          resolve,
        )
      );
      return `127.0.0.1:${port}`;
    },
    /** Starts a worker, and waits until it listens. */
    async startWorker(store, options) {
      const child = await new Promise((resolve) => {
        const text = JSON.stringify({
          mem_mb: 131_072,
          gpu: 0,
          pingMs: SITE.pingMs,
          stopMs: SITE.stopMs,
          holdMaxMs: SITE.holdMaxMs,
          store: store.address,
          ...options,
        });
        const started = launch(
          options.id,
          [join(SHARED, "worker.mjs"), text],
          {},
          (line) => {
            const event = JSON.parse(line);
            events.push(event);
            if (options.quiet !== true) record(`worker: ${line}`);
            if (event.event === "up") resolve(started);
          },
        );
      });
      return child;
    },
    /** Starts an entry instance as the deploy file does. */
    async startInstance(store, number, options = {}) {
      const ports = options.ports ?? await findInstancePorts();
      const { callers, ready, peer, metrics } = ports;
      const values = {
        "node": `edge-${number}`,
        "zone": "a",
        "region": "r",
        "limits.cpu_share": "0.675",
        "listen.frontend": `127.0.0.1:${callers}`,
        "listen.ready_addr": `127.0.0.1:${ready}`,
        "ip": "127.0.0.1",
        "internal_ports.0": peer,
        "internal_ports.1": metrics,
        "platform.addr": store.address,
        "platform.parts": SITE.partitions,
        "hint": options.advice ?? "",
        "heartbeat_ms": SITE.pingMs,
        "bounds.hold_max_ms": SITE.holdMaxMs,
        "bounds.status_s": 120,
        "bounds.grace_s": 6,
      };
      const settings = readFileSync(join(ROOT, "deploy/entry.ini"), "utf8")
        .replace(/\{\{([^}]+)\}\}/g, (_, name) => values[name]);
      const path = join(temporary, `edge-${number}.ini`);
      writeFileSync(path, settings);
      const run = /^run = "node (.*)"$/m.exec(
        readFileSync(join(ROOT, "deploy/system.toml"), "utf8"),
      )[1].split(" ");
      const child = launch(
        `edge-${number}`,
        run,
        { SAMPHIRESTAGE_NODE_FILE: path },
        (line) => {
          if (process.env.LOGS === "1") record(`edge-${number}: ${line}`);
        },
      );
      const instance = { child, address: `127.0.0.1:${callers}`, ready, ports };
      for (let tries = 0; tries < 150; tries += 1) {
        const answer = await call(`127.0.0.1:${ready}`, "GET", "/readyz");
        if (answer.status === 200) return instance;
        await sleep(100);
      }
      throw new Error(`edge-${number} is not ready`);
    },
    /** Removes an instance for good: its address gives no response any more. */
    async removeInstance({ child, ports: { peer } }) {
      child.kill("SIGKILL");
      await child.exited;
      const silentPorts = [peer, peer + 1];
      const silent = await new Promise((resolve) => {
        const started = launch(
          "silent",
          [join(SHARED, "silent.mjs"), ...silentPorts],
          {},
          () => resolve(started),
        );
      });
      silent.kill("SIGSTOP");
      await sleep(100);
      for (const port of silentPorts) {
        for (let n = 0; n < 4; n += 1) {
          connect(port, "127.0.0.1").on("error", () => {}).unref();
        }
      }
    },
    /** Writes a configuration as the operator does. */
    async configure(store, configuration) {
      const key = "config";
      const content = Buffer.concat([
        Buffer.from([key.length]),
        Buffer.from(key + JSON.stringify(configuration)),
      ]);
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      const path = "/log-append?topic=keyed.op&part=0";
      const body = Buffer.concat([length, content]);
      const answer = await call(store.address, "POST", path, { body });
      record(
        `operator: version ${configuration.version} ${
          JSON.stringify(configuration.routes)
        } -> ${answer.status}`,
      );
    },
    /** Sends a client's call and records it with its answer. */
    async client(instance, method, path, body, options = {}) {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const shown = text !== undefined && text.length > 300
        ? `${text.slice(0, 300)}...`
        : text ?? "";
      record(`client: ${method} ${path} at ${instance.address} ${shown}`);
      const answer = await call(instance.address, method, path, {
        body: text,
        headers: {
          host: "desk.example",
          "content-type": "application/json",
          "deadline-ms": "3000",
        },
        ...options,
      });
      record(
        `client: ${method} ${path} -> ${answer.status ?? answer.error} ${
          answer.text ?? ""
        }`,
      );
      return answer;
    },
  };
}

/** A route of the configuration, as the operator writes it. */
export const route = (name, prefix, service, more = {}) => ({
  name,
  host: "desk.example",
  prefix,
  service,
  priority: 0,
  attempts: 3,
  slack_factor: 2,
  target_completion_ms: 1_000,
  ...more,
});

/** Makes an HTTP call over a connection of its own. */
export function call(address, method, path, options = {}) {
  const { body, headers = {}, timeoutMs = 5_000 } = options;
  return new Promise((resolve) => {
    const sent = httpRequest(`http://${address}${path}`, {
      method,
      headers,
      agent: new Agent(),
    }, async (response) => {
      let text = "";
      try {
        for await (const chunk of response) text += chunk;
        resolve({ status: response.statusCode, text });
      } catch (error) {
        resolve({ error: error.message });
      }
    });
    // A client that stops waiting closes its channel.
    setTimeout(() => {
      resolve({ error: "no answer" });
      sent.destroy();
    }, timeoutMs).unref();
    sent.on("error", (error) => resolve({ error: error.message }));
    sent.end(body);
  });
}

export async function findPorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve) => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/**
 * Ports of an instance: those for clients, readiness, metrics, and two
 * successive ones for its peers.
 */
export async function findInstancePorts() {
  const [callers, ready, metrics] = await findPorts(3);
  while (true) {
    const [peer] = await findPorts(1);
    const isFree = await new Promise((resolve) => {
      const server = createServer();
      server.on("error", () => resolve(false));
      server.listen(peer + 1, "127.0.0.1", () => {
        server.close(() => resolve(true));
      });
    });
    const isTaken = [callers, ready, metrics].includes(peer + 1);
    if (isFree && !isTaken) return { callers, ready, peer, metrics };
  }
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(condition, timeoutMs) {
  const untilMs = Date.now() + timeoutMs;
  while (Date.now() < untilMs) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}
