/**
 * A stand-in of the platform's store, in memory: keyed logs with fenced
 * appends, and groups of members.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { decodeRecords } from "../../platform/record_format.ts";

const READ_HEADER_BYTES = 16;

/** The answer to a call. */
export type StoreAnswer = { status: number; body: Buffer | object };

type Log = {
  records: Buffer[];
  newest: Map<string, { value: string; offset: number }>;
  epoch: number;
  sequence: number;
  answers: Map<number, StoreAnswer>;
};

type Group = {
  generation: number;
  members: Map<string, { seenAtMs: number; ttlMs: number }>;
  /** Holder by number of the partition. */
  holders: (string | undefined)[];
};

/** A store in memory. */
export type Store = {
  partitions: number;
  logs: Map<string, Log>;
  groups: Map<string, Group>;
};

/** Creates an empty store. */
export function createStore(partitions: number): Store {
  return { partitions, logs: new Map(), groups: new Map() };
}

/** Finds or creates a partition of a topic. */
export function logOf(store: Store, topic: string, part: string): Log {
  const name = `${topic}/${part}`;
  const known = store.logs.get(name);
  if (known !== undefined) return known;
  const log: Log = {
    records: [],
    newest: new Map(),
    epoch: -1,
    sequence: -1,
    answers: new Map(),
  };
  store.logs.set(name, log);
  return log;
}

/** Appends raw records under the rules of fencing. */
export function append(
  store: Store,
  query: URLSearchParams,
  body: Buffer,
): StoreAnswer {
  const log = logOf(store, query.get("topic") ?? "", query.get("part") ?? "0");
  if (!query.has("producer")) return store200(log, body);
  const epoch = Number(query.get("epoch"));
  const sequence = Number(query.get("seq"));
  if (epoch < log.epoch) return { status: 409, body: { reason: "fenced" } };
  if (epoch > log.epoch) {
    log.epoch = epoch;
    log.sequence = sequence - 1;
    log.answers.clear();
  }
  const earlier = log.answers.get(sequence);
  if (earlier !== undefined) return earlier;
  if (sequence !== log.sequence + 1) {
    return { status: 409, body: { reason: "seq", seq: log.sequence + 1 } };
  }
  log.sequence = sequence;
  const answer = store200(log, body);
  log.answers.set(sequence, answer);
  return answer;
}

function store200(log: Log, body: Buffer): StoreAnswer {
  const offset = log.records.length;
  let position = 0;
  while (position < body.length) {
    const end = position + 4 + body.readUInt32BE(position);
    const bytes = body.subarray(position, end);
    const framed = Buffer.concat([Buffer.alloc(READ_HEADER_BYTES), bytes]);
    for (const { key, value } of decodeRecords(framed, 0).records) {
      if (value === undefined) log.newest.delete(key);
      else log.newest.set(key, { value, offset: log.records.length });
    }
    log.records.push(bytes);
    position = end;
  }
  return { status: 200, body: { offset, end_offset: log.records.length } };
}

/** Reads raw records from an offset on. */
export function read(store: Store, query: URLSearchParams): StoreAnswer {
  const log = logOf(store, query.get("topic") ?? "", query.get("part") ?? "0");
  const head = Buffer.alloc(READ_HEADER_BYTES);
  head.writeBigUInt64BE(BigInt(log.records.length), 0);
  const records = log.records.slice(Number(query.get("from")));
  return { status: 200, body: Buffer.concat([head, ...records]) };
}

/** Lists the newest record of every key. */
export function newest(store: Store, query: URLSearchParams): StoreAnswer {
  const log = logOf(store, query.get("topic") ?? "", query.get("part") ?? "0");
  const items = [...log.newest].map(([key, { value, offset }]) => ({
    key,
    value: Buffer.from(value).toString("base64"),
    offset,
  }));
  const end_offset = log.records.length;
  return { status: 200, body: { items, has_more: false, end_offset } };
}

/** Joins a group or stays in it. */
export function join(
  store: Store,
  call: { group: string; member: string; topic_list: string[]; ttl_ms: number },
  nowMs: number,
): StoreAnswer {
  const group = groupOf(store, call.group);
  expire(group, nowMs);
  if (!group.members.has(call.member)) group.generation += 1;
  group.members.set(call.member, { seenAtMs: nowMs, ttlMs: call.ttl_ms });
  deal(group);
  const parts = group.holders.flatMap((holder, number) =>
    holder === call.member ? [[call.topic_list[0], number, 0]] : []
  );
  return { status: 200, body: { generation: group.generation, parts } };
}

/** Leaves a group. */
export function leave(
  store: Store,
  call: { group: string; member: string },
): StoreAnswer {
  const group = groupOf(store, call.group);
  if (group.members.delete(call.member)) group.generation += 1;
  deal(group);
  return { status: 200, body: {} };
}

/** Lists who holds which partition. */
export function owners(store: Store, name: string, nowMs: number): StoreAnswer {
  const group = groupOf(store, name);
  expire(group, nowMs);
  const parts = group.holders.map((holder, number) => [
    "keyed.domains",
    number,
    holder ?? "",
    0,
  ]);
  return { status: 200, body: { parts } };
}

function groupOf(store: Store, name: string): Group {
  const known = store.groups.get(name);
  if (known !== undefined) return known;
  const group: Group = {
    generation: 0,
    members: new Map(),
    holders: Array.from({ length: store.partitions }, () => undefined),
  };
  store.groups.set(name, group);
  return group;
}

function expire(group: Group, nowMs: number): void {
  for (const [member, { seenAtMs, ttlMs }] of group.members) {
    if (nowMs - seenAtMs <= ttlMs) continue;
    group.members.delete(member);
    group.generation += 1;
  }
  deal(group);
}

/** Gives the partitions of absent members to those that are there. */
function deal(group: Group): void {
  const members = [...group.members.keys()];
  group.holders = group.holders.map((holder, number) => {
    if (holder !== undefined && group.members.has(holder)) return holder;
    return members.length === 0 ? undefined : members[number % members.length];
  });
}
