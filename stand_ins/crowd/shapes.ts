/**
 * The behaviour of clients that do not keep to the limits of the system: what
 * each of their connections sends, and whether it reads the responses.
 *
 * @module
 */

/** What each connection of a crowd does. */
export type Shape = {
  /** Sent once, when the connection opens. */
  opening: string;
  /** Sent again and again afterwards. */
  piece: string;
  /** How often the piece is sent. */
  pieceCount: number;
  /** Time between two pieces; 0 to send as fast as the server reads. */
  pauseMs: number;
  /** Whether the responses are read. */
  isReading: boolean;
  /** Whether the client closes its half of the connection after the pieces. */
  isHalfClosed: boolean;
};

/** The request line and the headers of requests that a shape is made of. */
export type RequestTarget = {
  host: string;
  /** Path of a resource that is read with GET. */
  readPath: string;
  /** Path that accepts a body with POST. */
  postPath: string;
  /** Further header lines, each with its line break. */
  headers: string;
};

/** Names of the shapes. */
export type ShapeName = keyof ReturnType<typeof createShapes>;

const KIBIBYTE = 1_024;
/** Limit on a body in the tests, in bytes. */
export const MAX_BODY_BYTES = 4 * 1_024 * KIBIBYTE;

const QUIET: Shape = {
  opening: "",
  piece: "",
  pieceCount: 0,
  pauseMs: 0,
  isReading: true,
  isHalfClosed: false,
};

/** Creates the shapes for a target. */
export function createShapes(target: RequestTarget) {
  const { host, readPath, postPath, headers } = target;
  const requestHead = (line: string, more = "") =>
    `${line} HTTP/1.1\r\nhost: ${host}\r\n${headers}${more}`;
  const get = `${requestHead(`GET ${readPath}`)}\r\n`;
  const post = requestHead(`POST ${postPath}`);
  const chunked = `${post}transfer-encoding: chunked\r\n\r\n`;
  const shortPost = `${post}content-length: 2\r\n\r\n{}`;
  return {
    headOverTheLimit: {
      ...QUIET,
      opening: requestHead(`GET ${readPath}`, "x: "),
      piece: "y".repeat(16 * KIBIBYTE),
      pieceCount: 64,
    },
    headWithoutEnd: {
      ...QUIET,
      opening: requestHead(`GET ${readPath}`),
      piece: "x-field: value\r\n".repeat(64),
      pieceCount: 1_024,
    },
    headOfManyFields: {
      ...QUIET,
      opening: requestHead(`GET ${readPath}`),
      piece: "a:\r\n".repeat(256),
      pieceCount: 14,
    },
    headByteByByte: {
      ...QUIET,
      opening: requestHead(`GET ${readPath}`),
      piece: "x",
      pieceCount: 500,
      pauseMs: 10,
    },
    emptyLines: {
      ...QUIET,
      piece: "\r\n".repeat(8 * KIBIBYTE),
      pieceCount: 1_024,
    },
    silence: QUIET,
    largeChunksThatStopShort: {
      ...QUIET,
      opening: chunked,
      piece: `7fc0\r\n${"x".repeat(0x7fc0)}\r\n`,
      pieceCount: MAX_BODY_BYTES / (32 * KIBIBYTE),
    },
    oneByteChunksThatStopShort: {
      ...QUIET,
      opening: chunked,
      piece: "1\r\nx\r\n".repeat(KIBIBYTE),
      pieceCount: 200,
    },
    announcedBodyThatIsNotSent: {
      ...QUIET,
      opening: `${post}content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
    },
    announcedBodyThatStopsShort: {
      ...QUIET,
      opening: `${post}content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
      piece: "x".repeat(32 * KIBIBYTE),
      pieceCount: MAX_BODY_BYTES / (32 * KIBIBYTE) - 1,
    },
    chunkExtensionWithoutEnd: {
      ...QUIET,
      opening: `${chunked}1`,
      piece: ";extension=value".repeat(64),
      pieceCount: 1_024,
    },
    chunksWithExtensions: {
      ...QUIET,
      opening: chunked,
      piece: `1;${"e".repeat(8 * KIBIBYTE)}\r\nx\r\n`,
      pieceCount: 2_000,
    },
    trailersWithoutEnd: {
      ...QUIET,
      opening: `${chunked}1\r\nx\r\n0\r\n`,
      piece: "x-field: value\r\n".repeat(64),
      pieceCount: 1_024,
    },
    expectedBodyThatIsNotSent: {
      ...QUIET,
      opening: `${post}expect: 100-continue\r\n` +
        `content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
    },
    unreadAnswersOfReads: {
      ...QUIET,
      piece: get.repeat(100),
      pieceCount: 200,
      isReading: false,
    },
    unreadAnswersOfPosts: {
      ...QUIET,
      piece: shortPost.repeat(100),
      pieceCount: 200,
      isReading: false,
    },
    readsAhead: { ...QUIET, piece: get.repeat(100), pieceCount: 200 },
    halfClosedReadsAhead: {
      ...QUIET,
      piece: get.repeat(100),
      pieceCount: 20,
      isReading: false,
      isHalfClosed: true,
    },
    halfClosedBody: {
      ...QUIET,
      opening: chunked,
      piece: `7fc0\r\n${"x".repeat(0x7fc0)}\r\n`,
      pieceCount: 4,
      isHalfClosed: true,
    },
  } satisfies Record<string, Shape>;
}
