/**
 * An in-memory stand-in for the platform's store: keyed logs with fenced
 * appends, and groups that assign partitions to their members.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { decodeRecords } from "../../platform/record_format.ts";
import type { KeyedRecord } from "../../src/hosts/mod.ts";

const READ_HEADER_BYTES = 16;
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;

/** HTTP status and body of a stand-in's response. */
export type StandInResponse = { status: number; body: Buffer | object };

type PartitionLog = {
  records: Buffer[];
  latestByKey: Map<string, { value: string; offset: number }>;
  /** Highest epoch of a producer; appends of earlier epochs are fenced. */
  epoch: number;
  /** Sequence number of the last append within the epoch. */
  sequence: number;
  /** Responses within the epoch, returned again for repeated appends. */
  responsesBySequence: Map<number, StandInResponse>;
};

type Group = {
  generation: number;
  members: Map<string, { lastSeenAtMs: number; ttlMs: number }>;
  /** Member that owns each partition, by partition number. */
  owners: (string | undefined)[];
};

/** The state of an in-memory store. */
export type Store = {
  partitions: number;
  logs: Map<string, PartitionLog>;
  groups: Map<string, Group>;
  /** Whether a record with a value is rejected for good. */
  rejects(key: string): boolean;
  /** The shortest membership of a group that is accepted, in milliseconds. */
  minMemberTtlMs: number;
};

/** Creates an empty store. */
export function createStore(partitions: number): Store {
  return {
    partitions,
    logs: new Map(),
    groups: new Map(),
    rejects: () => false,
    minMemberTtlMs: 0,
  };
}

/** Returns the log of a topic's partition, creating it if necessary. */
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

/**
 * Appends raw records, if the log ends at the offset that the request names, and
 * subject to fencing if the request names a producer: an
 * earlier epoch or a gap in the sequence is refused, and a repeated sequence
 * number gets the original response.
 */
export function appendRecords(
  store: Store,
  query: URLSearchParams,
  body: Buffer,
): StandInResponse {
  if (isRejected(store, body)) return { status: 400, body: {} };
  const log = getOrCreateLog(
    store,
    query.get("topic") ?? "",
    query.get("part") ?? "0",
  );
  const expectedEnd = query.get("at");
  const end_offset = log.records.length;
  if (expectedEnd !== null && Number(expectedEnd) !== end_offset) {
    return { status: 412, body: { end_offset } };
  }
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

/** Whether an append or one of its records is too large, or is rejected. */
function isRejected({ rejects }: Store, body: Buffer): boolean {
  if (body.length > MAX_CALL_BYTES) return true;
  for (let position = 0; position < body.length;) {
    const length = body.readUInt32BE(position);
    if (length > MAX_RECORD_BYTES) return true;
    position += 4 + length;
  }
  return decodeAll(body).some(({ key, value }) =>
    value !== undefined && rejects(key)
  );
}

function decodeAll(body: Buffer): KeyedRecord[] {
  const framed = Buffer.concat([Buffer.alloc(READ_HEADER_BYTES), body]);
  return decodeRecords(framed, 0).records;
}

function writeRecords(log: PartitionLog, body: Buffer): StandInResponse {
  const offset = log.records.length;
  let position = 0;
  while (position < body.length) {
    const end = position + 4 + body.readUInt32BE(position);
    const bytes = body.subarray(position, end);
    for (const { key, value } of decodeAll(bytes)) {
      if (value === undefined) log.latestByKey.delete(key);
      else log.latestByKey.set(key, { value, offset: log.records.length });
    }
    log.records.push(bytes);
    position = end;
  }
  return { status: 200, body: { offset, end_offset: log.records.length } };
}

/** Reads raw records, starting at an offset. */
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

/** Lists the latest record of every key. */
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

/** Adds a member to a group, or renews its membership. */
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
  const { minMemberTtlMs } = store;
  if (request.ttl_ms < minMemberTtlMs) {
    return { status: 400, body: { error: `ttl_ms below ${minMemberTtlMs}` } };
  }
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

/** Removes a member from a group. */
export function leaveGroup(
  store: Store,
  request: { group: string; member: string },
): StandInResponse {
  const group = getOrCreateGroup(store, request.group);
  if (group.members.delete(request.member)) group.generation += 1;
  assignPartitions(group);
  return { status: 200, body: {} };
}

/** Lists the owner of each partition. */
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

/** Returns a member that owns a partition, if any group has one. */
export function findOwnerAddress(store: Store): string | undefined {
  const [group] = store.groups.values();
  return group?.owners.find((member) => member !== undefined);
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
  for (const [member, { lastSeenAtMs, ttlMs }] of group.members) {
    if (nowMs - lastSeenAtMs <= ttlMs) continue;
    group.members.delete(member);
    group.generation += 1;
  }
  assignPartitions(group);
}

/** Reassigns partitions without a current owner to the present members. */
function assignPartitions(group: Group): void {
  const members = [...group.members.keys()];
  group.owners = group.owners.map((owner, number) => {
    if (owner !== undefined && group.members.has(owner)) return owner;
    return members.length === 0 ? undefined : members[number % members.length];
  });
}
