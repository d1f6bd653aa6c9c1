import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { createCounters, createLogger, type LogSettings } from "./mod.ts";

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

test("logger: a line has time, level, part, message and fields", async () => {
  const lines = await logWith({}, (logger) => {
    const ownership = logger.part("ownership");
    ownership.debug("Not shown.");
    ownership.info("Acquired the worker.", { worker: "w 3", token: 7 });
  });
  assert.equal(lines.length, 1);
  assert.match(
    lines[0] ?? "",
    /^\d{4}-\d\d-\d\dT[\d:.]+Z info {2}ownership: Acquired the worker\. worker="w 3" token=7\n$/,
  );
});

test("logger: a JSON entry has the same data and the process", async () => {
  const lines = await logWith({ format: "json" }, (logger) => {
    logger.part("store").warn("The store is down.", { failures: 3 });
  });
  const { time, ...entry } = JSON.parse(lines[0] ?? "");
  assert.equal(Number.isNaN(Date.parse(time)), false);
  assert.deepEqual(entry, {
    level: "warn",
    process: "kigali-1",
    part: "store",
    message: "The store is down.",
    failures: 3,
  });
});

test("logger: text with line breaks cannot forge an entry", async () => {
  for (const format of ["line", "json"] as const) {
    const lines = await logWith({ format }, (logger) => {
      logger.part("entry").info("Refused a\nrequest.", { id: "a\r\nb\u2028" });
    });
    assert.equal(lines.join("").trimEnd().split(/[\r\n\u2028]/).length, 1);
  }
});

test("logger: a failing stream does not make logging throw", async () => {
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

test("counters: counters and histograms are rendered with their labels", async () => {
  const counters = createCounters();
  counters.count("calls", { outcome: "accepted" });
  counters.count("calls", { outcome: "accepted" });
  counters.count("calls", { outcome: "refused" });
  counters.observe("append_ms", 12);
  const lines = (await counters.render()).split("\n");
  assert.ok(lines.includes('samphirestage_calls_total{outcome="accepted"} 2'));
  assert.ok(lines.includes('samphirestage_calls_total{outcome="refused"} 1'));
  assert.ok(lines.includes('samphirestage_append_ms_bucket{le="10"} 0'));
  assert.ok(lines.includes('samphirestage_append_ms_bucket{le="20"} 1'));
  assert.ok(lines.includes("samphirestage_append_ms_sum 12"));
});

test("counters: no output is rendered before the first count", async () => {
  assert.equal((await createCounters().render()).trim(), "");
});
