/**
 * The connection of a client to a server. It passes what arrives to the parser
 * of Node.js one request at a time: the parser handles all requests of a read
 * at once, each with objects that take far more memory than it has bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { assertNever } from "../base/mod.ts";
import type { ByteBudget } from "./byte_budget.ts";
import {
  appendBytes,
  type BufferPool,
  createGrowingBuffer,
  type GrowingBuffer,
  writtenBytes,
} from "./growing_buffer.ts";
import type { WorkQueue } from "./work_queue.ts";

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
/** Ends a head, and a chunked body. */
const EMPTY_LINE_TEXT = "\r\n\r\n";
const EMPTY_LINE = Buffer.from(EMPTY_LINE_TEXT);
const NOTHING = Buffer.alloc(0);
/** Empty lines that are skipped before a request, in bytes. */
const MAX_EMPTY_BYTES = 1_024;
const CONTENT_LENGTH = /\r\ncontent-length: ?([0-9]{1,9})\r\n/i;
/** Longest head of which the fields are searched, in bytes. */
const MAX_SEARCHED_HEAD_BYTES = 2_048;
/** Bytes of a body after which other clients have a turn after each part. */
const UNINTERRUPTED_BODY_BYTES = 16_384;
/** Bytes of a chunked body that are parsed at a time. */
const CHUNKED_PART_BYTES = 4_096;

/** Why a client is not served any further. */
export type RefusalCause =
  | "tooManyConnections"
  | "headTooLarge"
  | "headTooSlow"
  | "emptyLines"
  | "malformed"
  | "bodyTooLarge"
  | "bodyTooSlow"
  | "bodyMemory"
  | "answerUnread";

/** What a connection waits for. */
export type ConnectionPhase =
  /** A request that has not arrived yet, or not completely. */
  | "head"
  /** The rest of the body of a request. */
  | "body"
  /** The answer, or that it is read. */
  | "call"
  /** The next request, after an answer. */
  | "idle";

/** The connection of a client. */
export type ClientConnection = {
  readonly host: ConnectionHost;
  readonly socket: Socket;
  readonly address: string;
  phase: ConnectionPhase;
  /** When the phase began, on the steady clock. */
  phaseAtMs: number;
  /** The request that is received or answered. */
  exchange: Exchange | undefined;
  /** The part of a head that has arrived. */
  head: GrowingBuffer;
  /** Bytes of empty lines before the next request. */
  emptyBytes: number;
  /** Whether a request has arrived before. */
  hasServed: boolean;
  /** Whether the client has sent all that it will. */
  hasEnded: boolean;
  /** Whether nothing more is read. */
  isClosing: boolean;
  /** Whether nothing is parsed until the event loop has turned. */
  isYielding: boolean;
  /** Tells the parser that the client has sent all that it will. */
  endInput(): void;
};

/** A request and its response. */
export type Exchange = {
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether the response was sent or can no longer be. */
  isOver: boolean;
  /** When the response was found to wait for its reader. */
  unreadSinceMs: number | undefined;
  /** Rest of a body of known length, in bytes; undefined for chunks. */
  restBytes: number | undefined;
  /** Bytes of the body with its framing. */
  bodyBytes: number;
  /** The last bytes of a chunked body that were parsed. */
  tail: string;
  /** Why no more of the request is read, if so. */
  refusal: RefusalCause | undefined;
  /** Ends the reception of a body that somebody waits for. */
  refuseBody: ((cause: RefusalCause) => void) | undefined;
};

/** What a connection needs from its server. */
export type ConnectionHost = {
  /** Memory for the bodies of all clients. */
  budget: ByteBudget;
  /** Buffers for bodies. */
  pool: BufferPool;
  /** Long bodies that are parsed part by part. */
  bodies: WorkQueue;
  /** Limit on a head with its separators, in bytes. */
  maxHeadBytes: number;
  /** Limit on a body with its framing, in bytes. */
  maxBodyBytes(): number;
  /** Called when the phase has changed, with the earlier one. */
  onPhase(connection: ClientConnection, earlier: ConnectionPhase): void;
  /** Called when the client is refused. */
  onRefusal(cause: RefusalCause): void;
};

/** The connections of the sockets that a server has accepted. */
const connections = new WeakMap<Socket, ClientConnection>();

/** Returns the connection that a request arrived on, if it is bounded. */
export function connectionOf(
  { socket }: IncomingMessage,
): ClientConnection | undefined {
  return socket === undefined ? undefined : connections.get(socket);
}

/**
 * Whether later requests have arrived. Closing the connection would discard
 * them.
 */
export function hasLaterRequests({ socket }: IncomingMessage): boolean {
  return socket.readableLength > 0;
}

/**
 * Takes over what arrives on a socket from the server of Node.js, whose
 * listeners must have been added before.
 */
export function createClientConnection(
  host: ConnectionHost,
  socket: Socket,
): ClientConnection {
  const parse = takeLastListener(socket, "data");
  const connection: ClientConnection = {
    host,
    socket,
    address: socket.remoteAddress ?? "",
    phase: "head",
    phaseAtMs: performance.now(),
    exchange: undefined,
    head: createGrowingBuffer(),
    emptyBytes: 0,
    hasServed: false,
    hasEnded: false,
    isClosing: false,
    isYielding: false,
    endInput: takeLastListener(socket, "end"),
  };
  connections.set(socket, connection);
  socket.on("data", (chunk: Buffer) => receive(connection, chunk, parse));
  socket.on("end", () => {
    connection.hasEnded = true;
    // The parser would end the connection before a call is answered.
    if (connection.phase !== "call") connection.endInput();
  });
  return connection;
}

/** Removes the listener that was added last, and returns it. */
function takeLastListener(
  socket: Socket,
  event: "data" | "end",
): (chunk?: Buffer) => void {
  const listener = socket.listeners(event).at(-1) as (chunk?: Buffer) => void;
  socket.removeListener(event, listener);
  return listener;
}

/** Registers the request that the parser has found on a connection. */
export function beginExchange(
  connection: ClientConnection,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { headers } = request;
  const isChunked = headers["transfer-encoding"] !== undefined;
  const exchange: Exchange = {
    request,
    response,
    isOver: false,
    unreadSinceMs: undefined,
    restBytes: isChunked ? undefined : Number(headers["content-length"] ?? 0),
    bodyBytes: 0,
    tail: "",
    refusal: undefined,
    refuseBody: undefined,
  };
  connection.exchange = exchange;
  connection.emptyBytes = 0;
  connection.hasServed = true;
  response.once("close", () => {
    exchange.isOver = true;
    updatePhase(connection);
    if (connection.phase === "call") return;
    if (connection.hasEnded) connection.endInput();
    else if (connection.socket.isPaused()) yieldToOthers(connection);
  });
}

/** Stops serving a client, whose present request is not passed on. */
export function refuseClient(
  connection: ClientConnection,
  cause: RefusalCause,
): void {
  const { host, socket, exchange } = connection;
  if (connection.isClosing) return;
  connection.isClosing = true;
  host.onRefusal(cause);
  if (exchange === undefined) {
    socket.write(refusalText(cause));
    socket.destroy();
  } else if (exchange.isOver || exchange.response.writableEnded) {
    socket.destroy();
  } else {
    stopReading(connection, exchange, cause);
  }
}

/** Answers what the parser has refused. */
export function rejectMalformedRequest(
  error: Error & { code?: string },
  socket: Duplex,
): void {
  const connection = connections.get(socket as Socket);
  const cause = malformedCause(error.code);
  if (isBeyondLimits(error.code)) connection?.host.onRefusal(cause);
  if (connection !== undefined && isCallPending(connection)) {
    // The call was passed on, so it is answered.
    connection.isClosing = true;
    stopReading(connection, connection.exchange!, cause);
    return;
  }
  if (socket.writable) socket.write(refusalText(cause));
  socket.destroy();
}

/** Whether a request was passed on that is not answered yet. */
export function isCallPending({ exchange }: ClientConnection): boolean {
  return exchange !== undefined && exchange.refuseBody === undefined &&
    !exchange.isOver && !exchange.response.writableEnded;
}

function stopReading(
  { socket }: ClientConnection,
  exchange: Exchange,
  cause: RefusalCause,
): void {
  const { response, refuseBody } = exchange;
  exchange.refusal = cause;
  socket.pause();
  if (!response.headersSent) response.setHeader("connection", "close");
  refuseBody?.(cause);
}

/** Continues to read a socket once other clients have had their turn. */
function yieldToOthers(connection: ClientConnection): void {
  if (connection.isYielding) return;
  connection.isYielding = true;
  setImmediate(() => continueReading(connection));
}

/**
 * Continues to read the body of a request after those of other clients. They
 * are parsed in slices of time: short chunks take far more of it than their
 * bytes suggest.
 */
async function waitForTurn(connection: ClientConnection): Promise<void> {
  if (connection.isYielding) return;
  connection.isYielding = true;
  await connection.host.bodies.turn();
  continueReading(connection);
}

function continueReading(connection: ClientConnection): void {
  connection.isYielding = false;
  if (!connection.isClosing) connection.socket.resume();
}

/** Leaves what has arrived in the buffer of the socket. */
function hold({ socket }: ClientConnection, chunk: Buffer): void {
  // A full buffer of the socket also stops reading from the system.
  socket.pause();
  socket.unshift(chunk);
}

/** Passes what has arrived to the parser, up to the end of one request. */
function receive(
  connection: ClientConnection,
  chunk: Buffer,
  parse: (chunk: Buffer) => void,
): void {
  const { socket } = connection;
  let rest = chunk;
  while (rest.length > 0) {
    if (connection.isYielding) return hold(connection, rest);
    if (connection.isClosing || socket.destroyed || socket.writableEnded) {
      return;
    }
    switch (connection.phase) {
      case "head":
      case "idle":
        rest = receiveHead(connection, rest, parse);
        break;
      case "body":
        rest = receiveBodyPart(connection, rest, parse);
        break;
      case "call":
        return hold(connection, rest);
      default:
        assertNever(connection.phase);
    }
    updatePhase(connection);
  }
}

/** Parses a head once it is complete; returns what follows it. */
function receiveHead(
  connection: ClientConnection,
  chunk: Buffer,
  parse: (chunk: Buffer) => void,
): Buffer {
  const { head } = connection;
  const start = head.length === 0 ? countEmptyLineBytes(chunk) : 0;
  connection.emptyBytes += start;
  if (connection.emptyBytes > MAX_EMPTY_BYTES) {
    refuseClient(connection, "emptyLines");
    return NOTHING;
  }
  if (head.length === 0) {
    const index = chunk.indexOf(EMPTY_LINE, start);
    if (index >= 0) {
      const end = index + EMPTY_LINE.length;
      if (start === 0 && isOneRequest(chunk, end)) {
        parse(chunk);
        if (connection.exchange !== undefined) {
          connection.exchange.restBytes = 0;
        }
        return NOTHING;
      }
      parse(chunk.subarray(start, end));
      return chunk.subarray(end);
    }
  }
  const earlierBytes = head.length;
  appendBytes(head, chunk.subarray(start));
  const from = Math.max(0, earlierBytes - EMPTY_LINE.length + 1);
  const index = writtenBytes(head).indexOf(EMPTY_LINE, from);
  if (index < 0) {
    const { maxHeadBytes } = connection.host;
    if (head.length > maxHeadBytes) refuseClient(connection, "headTooLarge");
    return NOTHING;
  }
  const end = index + EMPTY_LINE.length;
  connection.head = createGrowingBuffer();
  parse(writtenBytes(head).subarray(0, end));
  return chunk.subarray(start + end - earlierBytes);
}

/**
 * Whether a chunk holds one request and nothing else, as it mostly does. Its
 * head and its body are then parsed in one step.
 */
function isOneRequest(chunk: Buffer, headBytes: number): boolean {
  const bodyBytes = chunk.length - headBytes;
  if (bodyBytes === 0 || headBytes > MAX_SEARCHED_HEAD_BYTES) return false;
  const length = CONTENT_LENGTH.exec(chunk.toString("latin1", 0, headBytes));
  return length !== null && Number(length[1]) === bodyBytes;
}

/** Parses what may belong to the present body; returns what follows it. */
function receiveBodyPart(
  connection: ClientConnection,
  chunk: Buffer,
  parse: (chunk: Buffer) => void,
): Buffer {
  const { host, exchange } = connection;
  if (exchange === undefined) return NOTHING;
  const { restBytes } = exchange;
  const length = restBytes === undefined
    ? chunkedPartLength(exchange, chunk.subarray(0, CHUNKED_PART_BYTES))
    : Math.min(restBytes, chunk.length);
  exchange.bodyBytes += length;
  if (exchange.bodyBytes > host.maxBodyBytes()) {
    refuseClient(connection, "bodyTooLarge");
    return NOTHING;
  }
  if (restBytes !== undefined) exchange.restBytes = restBytes - length;
  parse(chunk.subarray(0, length));
  const isInterrupted = exchange.bodyBytes > UNINTERRUPTED_BODY_BYTES ||
    restBytes === undefined && length < chunk.length;
  if (isInterrupted) {
    connection.socket.pause();
    waitForTurn(connection);
  }
  return chunk.subarray(length);
}

/** Length up to the next empty line, which may end a chunked body. */
function chunkedPartLength(exchange: Exchange, chunk: Buffer): number {
  const tailBytes = EMPTY_LINE.length - 1;
  const { tail } = exchange;
  const joint = tail + chunk.toString("latin1", 0, tailBytes);
  const jointIndex = joint.indexOf(EMPTY_LINE_TEXT);
  const index = jointIndex >= 0
    ? jointIndex - tail.length
    : chunk.indexOf(EMPTY_LINE);
  const length = index === -1 && jointIndex < 0
    ? chunk.length
    : index + EMPTY_LINE.length;
  const from = Math.max(0, length - tailBytes);
  exchange.tail = (tail + chunk.toString("latin1", from, length)).slice(
    -tailBytes,
  );
  return length;
}

/** Number of bytes that belong to empty lines before a request. */
function countEmptyLineBytes(chunk: Buffer): number {
  let count = 0;
  while (chunk[count] === CARRIAGE_RETURN || chunk[count] === LINE_FEED) {
    count += 1;
  }
  return count;
}

function updatePhase(connection: ClientConnection): void {
  const { exchange, phase } = connection;
  if (exchange?.isOver === true && exchange.request.complete) {
    connection.exchange = undefined;
  }
  const next = findPhase(connection);
  if (next === phase) return;
  connection.phase = next;
  connection.phaseAtMs = performance.now();
  connection.host.onPhase(connection, phase);
}

function findPhase(
  { exchange, head, hasServed }: ClientConnection,
): ConnectionPhase {
  if (exchange !== undefined) {
    return exchange.request.complete ? "call" : "body";
  }
  return head.length > 0 || !hasServed ? "head" : "idle";
}

/** The response to a client of which no complete head has arrived. */
function refusalText(cause: RefusalCause): string {
  const head = `HTTP/1.1 ${refusalStatus(cause)}`;
  return `${head}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}

function refusalStatus(cause: RefusalCause): string {
  switch (cause) {
    case "tooManyConnections":
    case "bodyMemory":
      return "503 Service Unavailable\r\nretry-after: 1";
    case "headTooLarge":
      return "431 Request Header Fields Too Large";
    case "headTooSlow":
    case "bodyTooSlow":
    case "answerUnread":
      return "408 Request Timeout";
    case "bodyTooLarge":
      return "413 Payload Too Large";
    case "emptyLines":
    case "malformed":
      return "400 Bad Request";
    default:
      return assertNever(cause);
  }
}

/** Whether the client sent too much or nonsense, and did not just leave. */
function isBeyondLimits(code = ""): boolean {
  return code === "ERR_HTTP_REQUEST_TIMEOUT" ||
    code.startsWith("HPE_") && code !== "HPE_INVALID_EOF_STATE";
}

function malformedCause(code: string | undefined): RefusalCause {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "headTooLarge";
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return "bodyTooLarge";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "headTooSlow";
    default:
      return "malformed";
  }
}
