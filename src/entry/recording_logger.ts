import type { Clock } from "../hosts/mod.ts";
import type {
  LogFields,
  Logger,
  LogLevel,
  LogPart,
  PartLogger,
} from "../telemetry/mod.ts";
import { recordEvent, type TimeLine } from "../time_line/mod.ts";

/** Log fields that name the subject of an event, the most specific first. */
const SUBJECT_FIELDS = ["task", "job", "step", "worker", "instance", "owner"];

/** Creates a logger that also records every message in the timeline. */
export function createRecordingLogger(
  logger: Logger,
  timeLine: TimeLine,
  clock: Clock,
): Logger {
  return {
    part: (name) =>
      createRecordingPartLogger(logger.part(name), name, timeLine, clock),
    close: () => logger.close(),
  };
}

function createRecordingPartLogger(
  part: PartLogger,
  name: LogPart,
  timeLine: TimeLine,
  clock: Clock,
): PartLogger {
  const write =
    (level: LogLevel) => (message: string, fields: LogFields = {}): void => {
      part[level](message, fields);
      const subject = SUBJECT_FIELDS.find((field) => field in fields);
      const others = Object.entries(fields)
        .filter(([field]) => field !== subject)
        .map(([field, value]) => `${field}=${value}`);
      recordEvent(timeLine, {
        atMs: clock.nowMs(),
        name: `${name}: ${message}`,
        subject: subject === undefined ? undefined : String(fields[subject]),
        detail: others.length === 0 ? undefined : others.join(" "),
      });
    };
  return {
    error: write("error"),
    warn: write("warn"),
    info: write("info"),
    debug: write("debug"),
  };
}
