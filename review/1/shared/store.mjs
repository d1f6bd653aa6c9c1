// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): keyed logs with fenced appends, and groups. The operator
// and the workers write to it, too, so it does not refuse their topics.
// Usage: node store.mjs PORT PARTITIONS PING_INTERVAL_MS
import { createServer } from "node:http";

const [port, partitions, pingMs] = process.argv.slice(2).map(Number);
const HEADER_BYTES = 16;
const MAX_RECORD_BYTES = 262_144;
const logs = new Map();
const groups = new Map();
/** When each worker has last written its entry, in milliseconds. */
const lastBeats = new Map();

function logOf(query) {
  const name = `${query.get("topic")}/${query.get("part") ?? "0"}`;
  if (!logs.has(name)) {
    logs.set(name, {
      name,
      records: [],
      newest: new Map(),
      epoch: -1,
      seq: -1,
      answers: new Map(),
      waiting: new Set(),
    });
  }
  return logs.get(name);
}

function write(log, body) {
  const offset = log.records.length;
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    if (length > MAX_RECORD_BYTES) return { status: 400, body: {} };
    at += 4 + length;
  }
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    const record = body.subarray(at, end);
    const keyEnd = 5 + record[4];
    const key = record.subarray(5, keyEnd).toString();
    const value = record.subarray(keyEnd);
    if (value.length === 0) log.newest.delete(key);
    else log.newest.set(key, { value, offset: log.records.length });
    if (log.name === "keyed.servers/0" && value.length > 0) {
      lastBeats.set(key, Date.now());
    }
    log.records.push(record);
    at = end;
  }
  for (const wake of log.waiting) wake();
  return { status: 200, body: { offset, end_offset: log.records.length } };
}

function append(query, body) {
  const log = logOf(query);
  if (!query.has("producer")) return write(log, body);
  const epoch = Number(query.get("epoch"));
  const seq = Number(query.get("seq"));
  if (epoch < log.epoch) return { status: 409, body: { reason: "fenced" } };
  if (epoch > log.epoch) {
    log.epoch = epoch;
    log.seq = seq - 1;
    log.answers.clear();
  }
  if (log.answers.has(seq)) return log.answers.get(seq);
  if (seq !== log.seq + 1) {
    return { status: 409, body: { reason: "seq", seq: log.seq + 1 } };
  }
  const answer = write(log, body);
  if (answer.status !== 200) return answer;
  log.seq = seq;
  log.answers.set(seq, answer);
  log.answers.delete(seq - 5);
  return answer;
}

async function read(query) {
  const log = logOf(query);
  const from = Number(query.get("from"));
  const waitMs = Number(query.get("wait_ms") ?? 0);
  if (from >= log.records.length && waitMs > 0) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        log.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      log.waiting.add(wake);
    });
  }
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(log.records.length), 0);
  const found = log.records.slice(from, from + 1_000);
  return { status: 200, body: Buffer.concat([header, ...found]) };
}

function newest(query) {
  const log = logOf(query);
  const after = query.get("after");
  const keys = [...log.newest.keys()].sort()
    .filter((key) => after === null || key > after);
  const page = [];
  let bytes = 0;
  for (const key of keys) {
    if (page.length === 500 || bytes > 1_000_000) break;
    const { value, offset } = log.newest.get(key);
    bytes += value.length;
    page.push({ key, value: value.toString("base64"), offset });
  }
  return {
    status: 200,
    body: {
      items: page,
      has_more: page.length < keys.length,
      end_offset: log.records.length,
    },
  };
}

function groupOf(name) {
  if (!groups.has(name)) {
    groups.set(name, {
      generation: 0,
      members: new Map(),
      owners: Array(partitions).fill(undefined),
    });
  }
  const group = groups.get(name);
  for (const [member, { seenMs, ttlMs }] of group.members) {
    if (Date.now() - seenMs <= ttlMs) continue;
    group.members.delete(member);
    group.generation += 1;
  }
  deal(group);
  return group;
}

/** Deals the partitions evenly; a partition stays with its member if it can. */
function deal(group) {
  const members = [...group.members.keys()];
  const counts = new Map(members.map((member) => [member, 0]));
  const most = Math.ceil(partitions / Math.max(1, members.length));
  group.owners = group.owners.map((owner) => {
    if (!counts.has(owner) || counts.get(owner) >= most) return undefined;
    counts.set(owner, counts.get(owner) + 1);
    return owner;
  });
  group.owners = group.owners.map((owner) => {
    if (owner !== undefined || members.length === 0) return owner;
    const [next] = members.sort((a, b) => counts.get(a) - counts.get(b));
    counts.set(next, counts.get(next) + 1);
    return next;
  });
}

function join({ group: name, member, topic_list, ttl_ms }) {
  const group = groupOf(name);
  if (!group.members.has(member)) group.generation += 1;
  group.members.set(member, { seenMs: Date.now(), ttlMs: ttl_ms });
  deal(group);
  const parts = group.owners.flatMap((owner, number) =>
    owner === member ? [[topic_list[0], number, 0]] : []
  );
  return { status: 200, body: { generation: group.generation, parts } };
}

function leave({ group: name, member }) {
  const group = groupOf(name);
  if (group.members.delete(member)) group.generation += 1;
  deal(group);
  return { status: 200, body: {} };
}

function owners(query) {
  const group = groupOf(query.get("group") ?? "");
  const parts = group.owners.map((owner, number) => [
    "keyed.domains",
    number,
    owner ?? "",
    0,
  ]);
  return { status: 200, body: { parts } };
}

// An entry is removed after three ping intervals of silence.
setInterval(() => {
  const log = logOf(new URLSearchParams({ topic: "keyed.servers", part: "0" }));
  for (const [id, beatMs] of lastBeats) {
    if (Date.now() - beatMs < 3 * pingMs) continue;
    lastBeats.delete(id);
    const content = Buffer.concat([Buffer.from([id.length]), Buffer.from(id)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    write(log, Buffer.concat([length, content]));
  }
}, 100);

async function handle(request, body) {
  const url = new URL(request.url, "http://store");
  switch (url.pathname) {
    case "/log-append":
      return append(url.searchParams, body);
    case "/log-read":
      return await read(url.searchParams);
    case "/log-newest":
      return newest(url.searchParams);
    case "/log-join":
      return join(JSON.parse(body));
    case "/log-leave":
      return leave(JSON.parse(body));
    case "/log-owners":
      return owners(url.searchParams);
    default:
      return { status: 404, body: {} };
  }
}

createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const answer = await handle(request, Buffer.concat(chunks));
  response.writeHead(answer.status);
  response.end(
    Buffer.isBuffer(answer.body) ? answer.body : JSON.stringify(answer.body),
  );
}).listen(port, "127.0.0.1", () => process.stdout.write("ready\n"));
