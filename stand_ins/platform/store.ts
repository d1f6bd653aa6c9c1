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
export type StandInResponse = { status: number; body: Buffer | object };

type PartitionLog = {
  records: Buffer[];
  latestByKey: Map<string, { value: string; offset: number }>;
  epoch: number;
  sequence: number;
  responsesBySequence: Map<number, StandInResponse>;
};

type Group = {
  generation: number;
  members: Map<string, { lastSeenAtMs: number; ttlMs: number }>;
  /** Holder by number of the partition. */
  owners: (string | undefined)[];
};

/** A store in memory. */
export type Store = {
  partitions: number;
  logs: Map<string, PartitionLog>;
  groups: Map<string, Group>;
};

/** Creates an empty store. */
export function createStore(partitions: number): Store {
  return { partitions, logs: new Map(), groups: new Map() };
}

/** Finds or creates a partition of a topic. */
export function getOrCreateLog(
  store: Store,
  topic: string,
  part: string,
): PartitionLog {
  const name = `${topic}/${part}`;
  const existing = store.logs.get(name);
  if (existing !== undefined) return existing;
  const log: PartitionLog = {
    records: [],
    latestByKey: new Map(),
    epoch: -1,
    sequence: -1,
    responsesBySequence: new Map(),
  };
  store.logs.set(name, log);
  return log;
}

/** Appends raw records under the rules of fencing. */
export function appendRecords(
  store: Store,
  query: URLSearchParams,
  body: Buffer,
): StandInResponse {
  const log = getOrCreateLog(
    store,
    query.get("topic") ?? "",
    query.get("part") ?? "0",
  );
  if (!query.has("producer")) return writeRecords(log, body);
  const epoch = Number(query.get("epoch"));
  const sequence = Number(query.get("seq"));
  if (epoch < log.epoch) return { status: 409, body: { reason: "fenced" } };
  if (epoch > log.epoch) {
    log.epoch = epoch;
    log.sequence = sequence - 1;
    log.responsesBySequence.clear();
  }
  const previousResponse = log.responsesBySequence.get(sequence);
  if (previousResponse !== undefined) return previousResponse;
  if (sequence !== log.sequence + 1) {
    return { status: 409, body: { reason: "seq", seq: log.sequence + 1 } };
  }
  log.sequence = sequence;
  const response = writeRecords(log, body);
  log.responsesBySequence.set(sequence, response);
  return response;
}

function writeRecords(log: PartitionLog, body: Buffer): StandInResponse {
  const offset = log.records.length;
  let position = 0;
  while (position < body.length) {
    const end = position + 4 + body.readUInt32BE(position);
    const bytes = body.subarray(position, end);
    const framed = Buffer.concat([Buffer.alloc(READ_HEADER_BYTES), bytes]);
    for (const { key, value } of decodeRecords(framed, 0).records) {
      if (value === undefined) log.latestByKey.delete(key);
      else log.latestByKey.set(key, { value, offset: log.records.length });
    }
    log.records.push(bytes);
    position = end;
  }
  return { status: 200, body: { offset, end_offset: log.records.length } };
}

/** Reads raw records from an offset on. */
export function readRecords(
  store: Store,
  query: URLSearchParams,
): StandInResponse {
  const log = getOrCreateLog(
    store,
    query.get("topic") ?? "",
    query.get("part") ?? "0",
  );
  const header = Buffer.alloc(READ_HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(log.records.length), 0);
  const records = log.records.slice(Number(query.get("from")));
  return { status: 200, body: Buffer.concat([header, ...records]) };
}

/** Lists the newest record of every key. */
export function listLatestRecords(
  store: Store,
  query: URLSearchParams,
): StandInResponse {
  const log = getOrCreateLog(
    store,
    query.get("topic") ?? "",
    query.get("part") ?? "0",
  );
  const items = [...log.latestByKey].map(([key, { value, offset }]) => ({
    key,
    value: Buffer.from(value).toString("base64"),
    offset,
  }));
  const end_offset = log.records.length;
  return { status: 200, body: { items, has_more: false, end_offset } };
}

/** Joins a group or stays in it. */
export function joinGroup(
  store: Store,
  request: {
    group: string;
    member: string;
    topic_list: string[];
    ttl_ms: number;
  },
  nowMs: number,
): StandInResponse {
  const group = getOrCreateGroup(store, request.group);
  removeExpiredMembers(group, nowMs);
  if (!group.members.has(request.member)) group.generation += 1;
  group.members.set(request.member, {
    lastSeenAtMs: nowMs,
    ttlMs: request.ttl_ms,
  });
  assignPartitions(group);
  const parts = group.owners.flatMap((owner, number) =>
    owner === request.member ? [[request.topic_list[0], number, 0]] : []
  );
  return { status: 200, body: { generation: group.generation, parts } };
}

/** Leaves a group. */
export function leaveGroup(
  store: Store,
  request: { group: string; member: string },
): StandInResponse {
  const group = getOrCreateGroup(store, request.group);
  if (group.members.delete(request.member)) group.generation += 1;
  assignPartitions(group);
  return { status: 200, body: {} };
}

/** Lists who holds which partition. */
export function listOwners(
  store: Store,
  name: string,
  nowMs: number,
): StandInResponse {
  const group = getOrCreateGroup(store, name);
  removeExpiredMembers(group, nowMs);
  const parts = group.owners.map((owner, number) => [
    "keyed.domains",
    number,
    owner ?? "",
    0,
  ]);
  return { status: 200, body: { parts } };
}

function getOrCreateGroup(store: Store, name: string): Group {
  const existing = store.groups.get(name);
  if (existing !== undefined) return existing;
  const group: Group = {
    generation: 0,
    members: new Map(),
    owners: Array.from({ length: store.partitions }, () => undefined),
  };
  store.groups.set(name, group);
  return group;
}

function removeExpiredMembers(group: Group, nowMs: number): void {
  for (const [member, { lastSeenAtMs: seenAtMs, ttlMs }] of group.members) {
    if (nowMs - seenAtMs <= ttlMs) continue;
    group.members.delete(member);
    group.generation += 1;
  }
  assignPartitions(group);
}

/** Gives the partitions of absent members to those that are there. */
function assignPartitions(group: Group): void {
  const members = [...group.members.keys()];
  group.owners = group.owners.map((owner, number) => {
    if (owner !== undefined && group.members.has(owner)) return owner;
    return members.length === 0 ? undefined : members[number % members.length];
  });
}
