import assert from "node:assert/strict";
import { test } from "node:test";
import { formatSettingsFaults, readSettings } from "./mod.ts";

const VALID = `
[instance]
id = kigali-1
zone = kigali
region = rwanda
url = http://127.0.0.1:8001
listen = 127.0.0.1:8001
[cluster]
secret = a-secret-of-the-press
seeds = http://127.0.0.1:8002, http://127.0.0.1:8003
[platform]
log_url = http://127.0.0.1:9001
list_url = http://127.0.0.1:9002
[customers]
order-desk = order-desk-token, order-desk-token-2
[operators]
uwimana = operator-token
`;

function faultsOf(text: string): string[] {
  const read = readSettings(text);
  assert.ok(read.isErr(), "the text should be refused");
  return formatSettingsFaults(read.error).split("\n");
}

test("settings: defaults fill what the text leaves out", () => {
  const settings = readSettings(VALID)._unsafeUnwrap();
  assert.deepEqual(settings, {
    instance: {
      id: "kigali-1",
      zone: "kigali",
      region: "rwanda",
      url: "http://127.0.0.1:8001",
      listen: { host: "127.0.0.1", port: 8001 },
    },
    cluster: {
      secret: "a-secret-of-the-press",
      seeds: ["http://127.0.0.1:8002", "http://127.0.0.1:8003"],
      preference: "waiting",
      spill: "cluster",
    },
    platform: {
      logUrl: "http://127.0.0.1:9001",
      listUrl: "http://127.0.0.1:9002",
      listIntervalMs: 5_000,
      usageIntervalMs: 60_000,
    },
    lease: {
      heartbeatMs: 1_000,
      deadAfterMs: 3000,
      renewWaitMs: 1000,
      marginMs: 2000,
    },
    limits: {
      maxQueuedTasks: 20_000,
      maxBodyBytes: 1_048_576,
      bodyTimeoutMs: 10_000,
      maxConnections: 1000,
      stopGraceMs: 30_000,
    },
    log: { level: "info", format: "line" },
    customers: { "order-desk": ["order-desk-token", "order-desk-token-2"] },
    operators: { uwimana: "operator-token" },
  });
});

test("settings: the metrics section turns metrics on", () => {
  const settings = readSettings(`${VALID}[metrics]\nhost = 127.0.0.1\n`);
  assert.deepEqual(settings._unsafeUnwrap().metrics, {
    host: "127.0.0.1",
    port: 8125,
    prefix: "samphirestage.",
  });
});

test("settings: an empty text misses every required key at once", () => {
  const faults = faultsOf("").map((line) => line.split(" is missing")[0]);
  assert.deepEqual(faults, [
    "SS1001: [instance] id",
    "SS1001: [instance] zone",
    "SS1001: [instance] region",
    "SS1001: [instance] url",
    "SS1001: [instance] listen",
    "SS1001: [platform] log_url",
    "SS1001: [platform] list_url",
    "SS1001: [cluster] secret",
  ]);
});

test("settings: all faults of a text are reported at once", () => {
  const text = VALID.replace("http://127.0.0.1:8001", "http://press.rw:8001")
    .replace("zone = kigali", "zone = kigali\nzone = huye") + `
uwimana-2 = operator-token
short = abc
[lease]
heartbeat_ms = 0.5s
dead_after_ms = 10
[log]
colour = red
[logs]
level = info
[metrics.extra]
host = 127.0.0.1
`;
  assert.deepEqual(faultsOf(text), [
    "SS1004: [logs] is not a known section; allowed: instance, cluster, platform, lease, limits, log, customers, operators, metrics.",
    "SS1004: [metrics.extra] is not a known section; allowed: instance, cluster, platform, lease, limits, log, customers, operators, metrics.",
    'SS1002: [instance] zone is "(given twice)"; allowed: one value.',
    'SS1002: [instance] url is "http://press.rw:8001"; allowed: http://IP:PORT by IP number, without a path.',
    'SS1002: [lease] heartbeat_ms is "0.5s"; allowed: a whole number from 10 to 60000.',
    'SS1002: [lease] dead_after_ms is "10"; allowed: a whole number from 20 to 86400000.',
    "SS1003: [log] colour is not a known key; allowed: level, format.",
    'SS1002: [operators] short is "(hidden)"; allowed: a token of at least 8 of A-Z, a-z, 0-9 and ._~+/-.',
    'SS1002: [operators] uwimana-2 is "(hidden)"; allowed: a token that nobody else has.',
  ]);
});

test("settings: a peer is given two heartbeats at least", () => {
  const text = `${VALID}[lease]\nheartbeat_ms = 500\ndead_after_ms = 900\n`;
  assert.deepEqual(faultsOf(text), [
    'SS1002: [lease] dead_after_ms is "900"; allowed: at least 1000, twice heartbeat_ms.',
  ]);
});

test("settings: a fault shows no secret", () => {
  const text = VALID.replace("a-secret-of-the-press", "too-short");
  assert.deepEqual(faultsOf(text), [
    'SS1002: [cluster] secret is "(hidden)"; allowed: at least 16 characters.',
  ]);
});

test("settings: the secret comes from its file", () => {
  const text = VALID.replace(
    "secret = a-secret-of-the-press",
    "secret_file = press.secret",
  );
  const files = new Map([["press.secret", "a-secret-in-a-file\n"]]);
  const read = readSettings(text, (path) => files.get(path) ?? "");
  assert.equal(read._unsafeUnwrap().cluster.secret, "a-secret-in-a-file");
  assert.deepEqual(faultsOf(text), [
    'SS1002: [cluster] secret_file is "press.secret"; allowed: a readable file with at least 16 characters.',
  ]);
});

test("settings: keys before the first section are refused", () => {
  const [first] = faultsOf(`id = kigali-1\n${VALID}`);
  assert.match(first ?? "", /^SS1004: \[\] is not a known section/);
});
