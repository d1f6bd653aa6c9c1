import assert from "node:assert/strict";
import { test } from "node:test";
import {
  formatSettingsFaults,
  readSettings,
  type SettingsFault,
} from "./mod.ts";

const VALID = `
[instance]
id = kigali-1
zone = kigali
region = rwanda
cores = 0.675
[listen]
callers = 127.0.0.1:8001
readiness = 127.0.0.1:8002
internal_host = 127.0.0.1
peer_port = 8003
metrics_port = 8004
[store]
address = 127.0.0.1:9001
partitions = 8
member_ttl_ms = 1300
[workers]
heartbeat_ms = 1500
[lease]
max_ms = 6000
[jobs]
keep_ended_s = 120
[stop]
grace_s = 6
[customers]
order-desk = order-desk-token, order-desk-token-2
[operators]
uwimana = operator-token
`;
const SECTION_LIST =
  "instance, listen, peers, store, configuration, advice, workers, lease, jobs, accounts, stop, log, machine, clients, customers, operators";

function readFaults(text: string): string[] {
  const read = readSettings(text);
  assert.ok(read.isErr(), "the text should be rejected");
  return formatSettingsFaults(read.error).split("\n");
}

test("settings: omitted optional keys get their defaults", () => {
  const settings = readSettings(VALID)._unsafeUnwrap();
  assert.deepEqual(settings, {
    instance: {
      id: "kigali-1",
      zone: "kigali",
      region: "rwanda",
      cores: 0.675,
    },
    listen: {
      callers: { host: "127.0.0.1", port: 8001 },
      readiness: { host: "127.0.0.1", port: 8002 },
      internalHost: "127.0.0.1",
      peerPort: 8003,
      peerPortCount: 1,
      metricsPort: 8004,
    },
    peers: { secret: "" },
    store: { address: "127.0.0.1:9001", partitions: 8, memberTtlMs: 1300 },
    configuration: { revocationBoundMs: 5000, additionBoundMs: 4000 },
    advice: { address: "" },
    workers: { heartbeatMs: 1500 },
    lease: { maxMs: 6000 },
    jobs: { keepEndedS: 120 },
    accounts: { maxConfigurationAgeMs: 3500 },
    stop: { graceS: 6 },
    log: { level: "info" },
    machine: { memoryMb: 256, descriptors: 4096 },
    clients: {
      headTimeoutMs: 15_000,
      bodyGraceMs: 15_000,
      bodyBytesPerS: 4096,
      unreadAnswerMs: 30_000,
    },
    customers: { "order-desk": ["order-desk-token", "order-desk-token-2"] },
    operators: { uwimana: "operator-token" },
  });
});

test("settings: listen.api sets the address of the API", () => {
  const text = VALID.replace("[store]", "api = 10.1.0.11:8000\n[store]");
  const settings = readSettings(text)._unsafeUnwrap();
  assert.deepEqual(settings.listen.api, { host: "10.1.0.11", port: 8000 });
});

test("settings: an empty text reports every required key as missing", () => {
  const faults = readFaults("").map((line) => line.split(" is missing")[0]);
  assert.deepEqual(faults, [
    "SS1001: [instance] id",
    "SS1001: [instance] zone",
    "SS1001: [instance] region",
    "SS1001: [instance] cores",
    "SS1001: [listen] callers",
    "SS1001: [listen] readiness",
    "SS1001: [listen] internal_host",
    "SS1001: [listen] peer_port",
    "SS1001: [listen] metrics_port",
    "SS1001: [store] address",
    "SS1001: [store] partitions",
    "SS1001: [store] member_ttl_ms",
    "SS1001: [workers] heartbeat_ms",
    "SS1001: [lease] max_ms",
    "SS1001: [jobs] keep_ended_s",
    "SS1001: [stop] grace_s",
  ]);
});

test("settings: all faults of a text are reported together", () => {
  const text = VALID.replace("127.0.0.1:8001", "press.rw:8001")
    .replace("zone = kigali", "zone = kigali\nzone = huye")
    .replace("cores = 0.675", "cores = half")
    .replace("max_ms = 6000", "max_ms = 6s") + `
uwimana-2 = operator-token
short = abc
[log]
colour = red
[logs]
level = info
[store.extra]
address = 127.0.0.1
`;
  assert.deepEqual(readFaults(text), [
    `SS1004: [store.extra] is not a known section; allowed: ${SECTION_LIST}.`,
    `SS1004: [logs] is not a known section; allowed: ${SECTION_LIST}.`,
    'SS1002: [instance] zone is "(given twice)"; allowed: one value.',
    'SS1002: [instance] cores is "half"; allowed: a decimal number, such as 0.5.',
    'SS1002: [listen] callers is "press.rw:8001"; allowed: IP:PORT by IP number, such as 127.0.0.1:8001.',
    'SS1002: [lease] max_ms is "6s"; allowed: a number of at least 1.',
    "SS1003: [log] colour is not a known key; allowed: level.",
    'SS1002: [operators] short is "(hidden)"; allowed: a token of at least 8 of A-Z, a-z, 0-9 and ._~+/-.',
    'SS1002: [operators] uwimana-2 is "(hidden)"; allowed: a token that no other customer or operator has.',
  ]);
});

test("settings: faults hide secrets", () => {
  const text = VALID.replace("operator-token", "hunter2") +
    "[peers]\nsecret = too-short\n";
  assert.deepEqual(readFaults(text), [
    'SS1002: [peers] secret is "(hidden)"; allowed: a secret of at least 16 of A-Z, a-z, 0-9 and ._~+/-, or nothing.',
    'SS1002: [operators] uwimana is "(hidden)"; allowed: a token of at least 8 of A-Z, a-z, 0-9 and ._~+/-.',
  ]);
});

test("settings: keys before the first section are rejected", () => {
  const [first] = readFaults(`id = kigali-1\n${VALID}`);
  assert.match(first ?? "", /^SS1004: \[\] is not a known section/);
});

// Guards against LOST: every process ended at its start, since the platform had
// written a bound with a fraction or an exponent, or one beyond a limit that only
// this product had.
const MEANT_VALUES: [key: string, text: string, value: number][] = [
  ["grace_s = 6", "4.5", 4.5],
  ["grace_s = 6", "6.0", 6],
  ["grace_s = 6", "0", 0],
  ["grace_s = 6", "86400", 86_400],
  ["keep_ended_s = 120", "90.5", 90.5],
  ["keep_ended_s = 120", "0.5", 0.5],
  ["keep_ended_s = 120", "2000000", 2_000_000],
  ["max_ms = 6000", "10000.0", 10_000],
  ["max_ms = 6000", "6000.5", 6_000.5],
  ["max_ms = 6000", "99.5", 99.5],
  ["max_ms = 6000", "7200000", 7_200_000],
  ["max_ms = 6000", "1e4", 10_000],
  ["heartbeat_ms = 1500", "1500.5", 1_500.5],
  ["cores = 0.675", "1e0", 1],
  ["cores = 0.675", "6.75e-1", 0.675],
  ["partitions = 8", "8.0", 8],
  ["member_ttl_ms = 1300", "1300.5", 1_300.5],
];

for (const [given, text, value] of MEANT_VALUES) {
  const [key = ""] = given.split(" = ");
  test(`settings: ${key} may be ${text}`, () => {
    const settings = readSettings(VALID.replace(given, `${key} = ${text}`));
    const sections = Object.values(settings._unsafeUnwrap());
    const camelKey = key.replace(
      /_([a-z])/g,
      (_, letter: string) => letter.toUpperCase(),
    );
    const read = sections.map((section) => Object.entries(section)).flat()
      .find(([name]) => name === camelKey);
    assert.deepEqual(read, [camelKey, value]);
  });
}

// Guards against LOST: a platform may name its machines as it likes.
test("settings: names of the platform may have any printable character", () => {
  const name = "Edge_1.kigali/a:2+b";
  const text = VALID.replace("id = kigali-1", `id = ${name}`)
    .replace("zone = kigali", `zone = ${name}`)
    .replace("region = rwanda", `region = ${"x".repeat(255)}`);
  const { instance } = readSettings(text)._unsafeUnwrap();
  assert.equal(instance.id, name);
  assert.equal(instance.zone, name);
  assert.equal(instance.region.length, 255);
  assert.equal(readFaults(VALID.replace("kigali-1", "kigali 1")).length, 1);
});

const MISTYPED_VALUES: [key: string, text: string][] = [
  ["grace_s = 6", "-1"],
  ["grace_s = 6", "six"],
  ["grace_s = 6", "NaN"],
  ["grace_s = 6", "Infinity"],
  ["grace_s = 6", "1e400"],
  ["grace_s = 6", "0x10"],
  ["max_ms = 6000", "true"],
  ["max_ms = 6000", "0"],
  ["max_ms = 6000", "6 000"],
  ["keep_ended_s = 120", "1,5"],
  ["keep_ended_s = 120", ""],
  ["keep_ended_s = 120", "1."],
  ["heartbeat_ms = 1500", "0"],
  ["partitions = 8", "8.5"],
  ["peer_port = 8003", "8003.5"],
  ["cores = 0.675", "1e"],
];

for (const [given, text] of MISTYPED_VALUES) {
  const [key = ""] = given.split(" = ");
  test(`settings: ${key} must not be "${text}"`, () => {
    const faults = readFaults(VALID.replace(given, `${key} = ${text}`));
    assert.equal(faults.length, 1);
    assert.match(faults[0]!, new RegExp(`^SS1002: \\[[a-z]+\\] ${key} is "`));
  });
}

// Guards against LOST: no instance started where the deploy file was newer than
// the programs, or older.
test("settings: names that this build does not know may be passed over", () => {
  const text = VALID.replace("max_ms = 6000", "max_ms = 6000\ngrace_ms = 10") +
    "[cache]\nsize_mb = 10\n";
  const unknown: SettingsFault[] = [];
  const settings = readSettings(text, {
    SAMPHIRESTAGE_SETTING_STORE_MEMBER_TTL_MIN_MS: "2000",
  }, unknown);
  assert.deepEqual(
    settings._unsafeUnwrap(),
    readSettings(VALID)._unsafeUnwrap(),
  );
  const names = formatSettingsFaults(unknown).split("\n")
    .map((line) => line.split(" is not ")[0]?.split(" names ")[0]);
  assert.deepEqual(names, [
    "SS1004: [cache]",
    "SS1006: The variable SAMPHIRESTAGE_SETTING_STORE_MEMBER_TTL_MIN_MS",
    "SS1003: [lease] grace_ms",
  ]);
  assert.equal(readFaults(text).length, 2);
});

const GUARDED: [name: string, text: string, variable?: string][] = [
  ["a mistyped secret", "[peers]\nsecert = 0123456789abcdef"],
  ["a secret in a mistyped section", "[peer]\nsecret = 0123456789abcdef"],
  ["a mistyped secret in the environment", "", "PEERS_SECERT"],
  ["a secret of a mistyped section there", "", "PEER_SECRET"],
  ["a customer whose name is not allowed", "[customers]\nA B = long-token-1"],
];

// Guards against a deployment that anybody may call, since a name was mistyped.
for (const [name, text, variable] of GUARDED) {
  test(`settings: ${name} is never passed over`, () => {
    const environment = variable === undefined
      ? {}
      : { [`SAMPHIRESTAGE_SETTING_${variable}`]: "0123456789abcdef" };
    const unknown: SettingsFault[] = [];
    const settings = readSettings(VALID + text, environment, unknown);
    assert.ok(settings.isErr());
    assert.deepEqual(unknown, []);
  });
}

test("settings: keys before the first section are never passed over", () => {
  assert.ok(readSettings(`id = kigali-1\n${VALID}`, {}, []).isErr());
});

test("settings: a variable that is empty or false counts as absent", () => {
  const variable = "SAMPHIRESTAGE_SETTING_CONFIGURATION_REVOCATION_BOUND_MS";
  for (const absent of ["", "false"]) {
    const settings = readSettings(VALID, { [variable]: absent });
    assert.deepEqual(settings, readSettings(VALID));
  }
  const { configuration } = readSettings(VALID, { [variable]: "0" })
    ._unsafeUnwrap();
  assert.equal(configuration.revocationBoundMs, 0);
  assert.ok(readSettings(VALID, { [variable]: "true" }).isErr());
});
