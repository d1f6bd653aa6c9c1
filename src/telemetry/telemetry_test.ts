import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { Writable } from "node:stream";
import { test } from "node:test";
import {
  createLogger,
  createMetrics,
  type LogSettings,
  metrics,
} from "./mod.ts";

function createSink() {
  const lines: string[] = [];
  const stream = new Writable({
    write(chunk, _encoding, done) {
      lines.push(String(chunk));
      done();
    },
  });
  return { lines, stream };
}

async function logWith(
  settings: Partial<LogSettings>,
  write: (logger: ReturnType<typeof createLogger>) => void,
) {
  const { lines, stream } = createSink();
  const logger = createLogger({
    level: "info",
    format: "line",
    process: "kigali-1",
    stream,
    ...settings,
  });
  write(logger);
  await logger.close();
  return lines;
}

test("logger: a line has time, level, part, sentence and fields", async () => {
  const lines = await logWith({}, (logger) => {
    const leases = logger.part("leases");
    leases.debug("Not shown.");
    leases.info("Acquired the worker.", { worker: "w 3", token: 7 });
  });
  assert.equal(lines.length, 1);
  assert.match(
    lines[0] ?? "",
    /^\d{4}-\d\d-\d\dT[\d:.]+Z info {2}leases: Acquired the worker\. worker="w 3" token=7\n$/,
  );
});

test("logger: JSON holds the same, with the process", async () => {
  const lines = await logWith({ format: "json" }, (logger) => {
    logger.part("log").warn("The log is down.", { failures: 3 });
  });
  const { time, ...entry } = JSON.parse(lines[0] ?? "");
  assert.equal(Number.isNaN(Date.parse(time)), false);
  assert.deepEqual(entry, {
    level: "warn",
    process: "kigali-1",
    part: "log",
    message: "The log is down.",
    failures: 3,
  });
});

test("logger: text from outside cannot forge an entry", async () => {
  for (const format of ["line", "json"] as const) {
    const lines = await logWith({ format }, (logger) => {
      logger.part("server").info("Refused a\nrequest.", { id: "a\r\nb\u2028" });
    });
    assert.equal(lines.join("").trimEnd().split(/[\r\n\u2028]/).length, 1);
  }
});

test("logger: a stream that fails does not throw", async () => {
  const stream = new Writable({
    write(_chunk, _encoding, done) {
      done(new Error("no space left"));
    },
  });
  stream.on("error", () => {});
  await logWith({ stream }, (logger) => {
    logger.part("daemon").error("One.");
    logger.part("daemon").error("Two.");
  });
});

test("metrics: every name is used once", () => {
  const names = Object.values(metrics).map(({ name }) => name);
  assert.equal(new Set(names).size, names.length);
});

test("metrics: without settings nothing is sent", async () => {
  const sender = await createMetrics(undefined);
  sender.count("tasksStarted");
  sender.gauge("queuedTasks", 1);
  await sender.close();
});

test("metrics: values arrive in one datagram, with prefix and tag", async () => {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  const received = once(socket, "message");
  const sender = await createMetrics({
    host: "127.0.0.1",
    port: socket.address().port,
    prefix: "samphirestage",
    process: "kigali-1",
  });
  sender.count("tasksStarted");
  sender.count("tasksStarted", 2);
  sender.gauge("queuedTasks", 5);
  sender.time("waitTime", 12);
  await sender.close();
  sender.count("tasksStarted");
  const [datagram] = await received;
  socket.close();
  assert.deepEqual(String(datagram).trimEnd().split("\n"), [
    "samphirestage.tasks.started:1|c|#process:kigali-1",
    "samphirestage.tasks.started:2|c|#process:kigali-1",
    "samphirestage.tasks.queued:5|g|#process:kigali-1",
    "samphirestage.tasks.wait:12|ms|#process:kigali-1",
  ]);
});

test("metrics: a receiver that is not there changes nothing", async () => {
  const sender = await createMetrics({
    host: "127.0.0.1",
    port: 9,
    prefix: "samphirestage",
    process: "kigali-1",
  });
  for (let index = 0; index < 200; index += 1) sender.count("retries");
  await sender.close();
});
