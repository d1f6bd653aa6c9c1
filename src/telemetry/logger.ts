import type { Writable } from "node:stream";
import * as winston from "winston";
import type { LogPart } from "./log_part.ts";

/** Log levels, most severe first. */
export const LOG_LEVELS = ["error", "warn", "info", "debug"] as const;

/** A log level. */
export type LogLevel = typeof LOG_LEVELS[number];

/** Output formats of log entries: a line of text, or a JSON object. */
export const LOG_FORMATS = ["line", "json"] as const;

/** An output format of log entries. */
export type LogFormat = typeof LOG_FORMATS[number];

/** Settings of the logger. */
export type LogSettings = {
  level: LogLevel;
  format: LogFormat;
  /** Id of the instance; a field of each JSON entry. */
  process: string;
  /** Destination of the entries; the console if absent. */
  stream?: Writable;
};

/** Structured fields of a log entry, such as a worker's id. */
export type LogFields = Record<string, string | number | boolean>;

/** Writes the log entries of one part of the daemon. */
export type PartLogger = {
  [level in LogLevel]: (message: string, fields?: LogFields) => void;
};

/** Writes log entries. */
export type Logger = {
  /** Returns the logger of a part, whose name is written with each entry. */
  part(name: LogPart): PartLogger;
  /** Resolves once all entries are written; later entries are not. */
  close(): Promise<void>;
};

// deno-lint-ignore no-control-regex
const CONTROL_CHARACTER = /[\u0000-\u001f\u007f\u2028\u2029]/;
const ALL_CONTROL_CHARACTERS = new RegExp(CONTROL_CHARACTER, "g");

const LEVEL_WIDTH = Math.max(...LOG_LEVELS.map((level) => level.length));

/**
 * Creates the logger of a process. Logging never throws and never rejects.
 *
 * @example
 * ```ts
 * const logger = createLogger({ level: "info", format: "line", process: id });
 * logger.part("domain").info("Acquired the worker.", { worker: "worker-3" });
 * // 2026-12-04T08:30:00.025Z info  domain: Acquired the worker. worker=worker-3
 * ```
 */
export function createLogger(settings: LogSettings): Logger {
  const sink = winston.createLogger({
    level: settings.level,
    levels: levelNumbers(),
    format: createFormat(settings),
    transports: [createTransport(settings.stream)],
    exitOnError: false,
  });
  sink.on("error", () => {
    // A failure to write logs must not stop the daemon.
  });
  return {
    part: (name) => createPartLogger(sink, name),
    close: () => closeSink(sink),
  };
}

function levelNumbers(): Record<string, number> {
  return Object.fromEntries(LOG_LEVELS.map((level, index) => [level, index]));
}

function createTransport(stream: Writable | undefined): winston.transport {
  if (stream === undefined) return new winston.transports.Console();
  return new winston.transports.Stream({ stream });
}

function createFormat(settings: LogSettings): winston.Logform.Format {
  const { combine, timestamp, printf } = winston.format;
  switch (settings.format) {
    case "line":
      return combine(timestamp(), printf(formatLine));
    case "json":
      return combine(
        timestamp(),
        printf((entry) => formatJson(entry, settings.process)),
      );
  }
}

function formatLine(entry: winston.Logform.TransformableInfo): string {
  const { level, message, timestamp, part, fields } = entry;
  const pairs = Object.entries(fields ?? {}).map(([key, value]) =>
    ` ${key}=${formatValue(value)}`
  );
  const text = `${message}${pairs.join("")}`;
  return `${timestamp} ${level.padEnd(LEVEL_WIDTH)} ${part}: ${
    escapeControlCharacters(text)
  }`;
}

function formatJson(
  entry: winston.Logform.TransformableInfo,
  process: string,
): string {
  const { level, message, timestamp, part, fields } = entry;
  const head = { time: timestamp, level, process, part, message };
  return escapeControlCharacters(
    JSON.stringify({ ...head, ...(fields ?? {}) }),
  );
}

function formatValue(value: unknown): string {
  const text = String(value);
  return /[\s"=]/.test(text) ? JSON.stringify(text) : text;
}

/** Prevents input text with line breaks from forging a log entry. */
function escapeControlCharacters(text: string): string {
  // Most entries need no escaping, and testing is faster than replacing.
  if (!CONTROL_CHARACTER.test(text)) return text;
  return text.replace(ALL_CONTROL_CHARACTERS, escapeCharacter);
}

function escapeCharacter(character: string): string {
  const code = character.charCodeAt(0).toString(16);
  return `\\u${code.padStart(4, "0")}`;
}

function createPartLogger(sink: winston.Logger, part: LogPart): PartLogger {
  const write =
    (level: LogLevel) => (message: string, fields?: LogFields): void => {
      sink.log({ level, message, part, fields });
    };
  return {
    error: write("error"),
    warn: write("warn"),
    info: write("info"),
    debug: write("debug"),
  };
}

function closeSink(sink: winston.Logger): Promise<void> {
  return new Promise((resolve) => {
    sink.once("finish", () => resolve());
    sink.end();
  });
}
