/**
 * The limits on what clients may take of an instance.
 *
 * @module
 */

const MEBIBYTE = 1_048_576;
/** Descriptors that are not sockets. */
const FILE_DESCRIPTORS = 200;
const MIN_SOCKETS = 32;
/** Part of the memory for bodies that have not arrived completely. */
const BODY_SHARE = 1 / 16;
/** Part of that which the clients of one address may take. */
const ADDRESS_SHARE = 1 / 2;
/** Part of the memory for what was read from client connections. */
const READ_SHARE = 1 / 4;
/** What Node.js reads from a connection at a time, in bytes. */
const READ_BYTES = 65_536;

/** Parts of the sockets of an instance that its servers may accept. */
const SOCKET_SHARES = {
  callers: 3 / 8,
  /** All ports for peers together. */
  peers: 1 / 4,
  api: 1 / 16,
  readiness: 1 / 32,
  metrics: 1 / 32,
} as const;

/** A server of an instance. */
export type ServerName = keyof typeof SOCKET_SHARES;

/** What the machine of an instance has. */
export type Machine = {
  memoryMb: number;
  descriptors: number;
  /** Number of ports that serve peers. */
  peerPorts: number;
};

/** How long clients may take. */
export type ClientPace = {
  /** Time for the first head, and from the first byte of each further one. */
  headTimeoutMs: number;
  /** Time in which a body may arrive at any rate, in milliseconds. */
  bodyGraceMs: number;
  /** Bytes that have to arrive in each second beyond the grace. */
  bodyBytesPerS: number;
  /** How long an answer may wait to be read, in milliseconds. */
  unreadAnswerMs: number;
};

/** Limits that hold for all clients of an instance. */
export type ClientLimits = ClientPace & {
  bodyBytes: { totalBytes: number; addressBytes: number };
  /** The most connections of each server, for peers at each port. */
  connections: Record<ServerName, number>;
};

/**
 * Derives the limits for a machine. The sockets that no server may accept are
 * left for connections to peers, the store and workers.
 *
 * @example
 * ```ts
 * const machine = { memoryMb: 350, descriptors: 4_100, peerPorts: 2 };
 * const limits = deriveClientLimits(machine, pace);
 * limits.connections.callers; // 1_400
 * ```
 */
export function deriveClientLimits(
  { memoryMb, descriptors, peerPorts }: Machine,
  pace: ClientPace,
): ClientLimits {
  const memoryBytes = memoryMb * MEBIBYTE;
  const totalBytes = memoryBytes * BODY_SHARE;
  const sockets = Math.max(descriptors - FILE_DESCRIPTORS, MIN_SOCKETS);
  const readable = Math.floor(memoryBytes * READ_SHARE / READ_BYTES);
  const connectionsOf = (name: ServerName) =>
    Math.max(1, Math.min(readable, Math.floor(sockets * SOCKET_SHARES[name])));
  return {
    ...pace,
    bodyBytes: { totalBytes, addressBytes: totalBytes * ADDRESS_SHARE },
    connections: {
      callers: connectionsOf("callers"),
      peers: Math.ceil(connectionsOf("peers") / peerPorts),
      api: connectionsOf("api"),
      readiness: connectionsOf("readiness"),
      metrics: connectionsOf("metrics"),
    },
  };
}

/**
 * Whether a body arrives too slowly: clients that send it byte by byte, or stop
 * short of its end, would hold it for as long as they like.
 */
export function isBodyTooSlow(
  { bodyGraceMs, bodyBytesPerS }: ClientPace,
  receivedBytes: number,
  elapsedMs: number,
): boolean {
  const ratedMs = elapsedMs - bodyGraceMs;
  return ratedMs > 0 && receivedBytes < ratedMs * bodyBytesPerS / 1_000;
}
